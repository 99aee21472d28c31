Feature: Configuration, orders and roles under faults
  Each fault is injected at each step from writing a revision to handing over a service.
  Afterwards one revision is in force everywhere, no instance's revision ever decreased, every
  change that was acknowledged as accepted is stored, and the engines have the desired version.
  On engines that check fencing numbers, no order of a superseded steward took effect.

  Scenario Outline: The fleet applies the configuration despite a fault
    Given a settled fleet whose engines "<engines>" fencing numbers
    And the fault "<fault>" at the step "<step>"
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
      | configuration written | lease expired during pause | check |
      | configuration written | lease expired during pause | ignore |
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
      | in force | lease expired during pause | check |
      | in force | lease expired during pause | ignore |
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
      | order sent | lease expired during pause | check |
      | order sent | lease expired during pause | ignore |
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
      | handed over | lease expired during pause | check |
      | handed over | lease expired during pause | ignore |
      | handed over | racing operators | check |
      | handed over | racing operators | ignore |
      | handed over | instance lost | check |
      | handed over | instance lost | ignore |
      | handed over | clean stop | check |
      | handed over | clean stop | ignore |
