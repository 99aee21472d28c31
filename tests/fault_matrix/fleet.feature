Feature: Configuration, orders and roles under faults
  Every fault at every step from a written revision to a handed over service. Afterwards one
  revision is in force everywhere and none ever fell, what an operator was told is accepted
  stands, engines have the wanted version, and on engines that check fencing numbers no order
  of a superseded steward took effect.

  Scenario Outline: The fleet ends in the wanted state
    Given a settled fleet whose engines "<engines>" fencing numbers
    And it meets "<fault>" at "<step>"
    When an operator applies another version and the steward is drained
    And all faults end
    Then one configuration is in force and the engines have it

    Examples:
      | step | fault | engines |
      | configuration written | service down | check |
      | configuration written | service down | ignore |
      | configuration written | service slow | check |
      | configuration written | service slow | ignore |
      | configuration written | reply lost | check |
      | configuration written | reply lost | ignore |
      | configuration written | lease lapsed in a pause | check |
      | configuration written | lease lapsed in a pause | ignore |
      | configuration written | racing operators | check |
      | configuration written | racing operators | ignore |
      | configuration written | instance lost | check |
      | configuration written | instance lost | ignore |
      | configuration written | clean stop | check |
      | configuration written | clean stop | ignore |
      | in force | service down | check |
      | in force | service down | ignore |
      | in force | service slow | check |
      | in force | service slow | ignore |
      | in force | reply lost | check |
      | in force | reply lost | ignore |
      | in force | lease lapsed in a pause | check |
      | in force | lease lapsed in a pause | ignore |
      | in force | racing operators | check |
      | in force | racing operators | ignore |
      | in force | instance lost | check |
      | in force | instance lost | ignore |
      | in force | clean stop | check |
      | in force | clean stop | ignore |
      | order sent | service down | check |
      | order sent | service down | ignore |
      | order sent | service slow | check |
      | order sent | service slow | ignore |
      | order sent | reply lost | check |
      | order sent | reply lost | ignore |
      | order sent | lease lapsed in a pause | check |
      | order sent | lease lapsed in a pause | ignore |
      | order sent | racing operators | check |
      | order sent | racing operators | ignore |
      | order sent | instance lost | check |
      | order sent | instance lost | ignore |
      | order sent | clean stop | check |
      | order sent | clean stop | ignore |
      | handed over | service down | check |
      | handed over | service down | ignore |
      | handed over | service slow | check |
      | handed over | service slow | ignore |
      | handed over | reply lost | check |
      | handed over | reply lost | ignore |
      | handed over | lease lapsed in a pause | check |
      | handed over | lease lapsed in a pause | ignore |
      | handed over | racing operators | check |
      | handed over | racing operators | ignore |
      | handed over | instance lost | check |
      | handed over | instance lost | ignore |
      | handed over | clean stop | check |
      | handed over | clean stop | ignore |
