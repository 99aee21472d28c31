Feature: Batch jobs under faults
  Each fault is injected at each step of a job's life. Afterwards every item of a completed job
  has exactly one result, a cancelled job has stopped, and no accepted job is lost.

  Scenario Outline: A job completes despite a fault
    Given a cluster with the fault "<fault>" at the step "<step>"
    When a client submits a job until it is accepted
    And the cluster runs until the job has ended
    Then the job is completed with one result per item
    And nothing changes afterwards

    Examples:
      | step | fault |
      | accept | worker dies |
      | accept | instance lost |
      | accept | resend |
      | accept | service down |
      | accept | service slow |
      | accept | reply lost |
      | accept | reply lost during outage |
      | accept | lease expired during pause |
      | accept | poison |
      | accept | disk lost |
      | accept | clean stop |
      | segment written | worker dies |
      | segment written | instance lost |
      | segment written | resend |
      | segment written | service down |
      | segment written | service slow |
      | segment written | reply lost |
      | segment written | reply lost during outage |
      | segment written | lease expired during pause |
      | segment written | poison |
      | segment written | disk lost |
      | segment written | clean stop |
      | shard claimed | worker dies |
      | shard claimed | instance lost |
      | shard claimed | resend |
      | shard claimed | service down |
      | shard claimed | service slow |
      | shard claimed | reply lost |
      | shard claimed | reply lost during outage |
      | shard claimed | lease expired during pause |
      | shard claimed | poison |
      | shard claimed | truncated answers |
      | shard claimed | disk lost |
      | shard claimed | clean stop |
      | dispatched | worker dies |
      | dispatched | instance lost |
      | dispatched | resend |
      | dispatched | service down |
      | dispatched | service slow |
      | dispatched | reply lost |
      | dispatched | reply lost during outage |
      | dispatched | lease expired during pause |
      | dispatched | poison |
      | dispatched | truncated answers |
      | dispatched | disk lost |
      | dispatched | clean stop |
      | result received | worker dies |
      | result received | instance lost |
      | result received | resend |
      | result received | service down |
      | result received | service slow |
      | result received | reply lost |
      | result received | reply lost during outage |
      | result received | lease expired during pause |
      | result received | poison |
      | result received | disk lost |
      | result received | clean stop |
      | result committed | worker dies |
      | result committed | instance lost |
      | result committed | resend |
      | result committed | service down |
      | result committed | service slow |
      | result committed | reply lost |
      | result committed | reply lost during outage |
      | result committed | lease expired during pause |
      | result committed | poison |
      | result committed | disk lost |
      | result committed | clean stop |
      | sealed | worker dies |
      | sealed | instance lost |
      | sealed | resend |
      | sealed | service down |
      | sealed | service slow |
      | sealed | reply lost |
      | sealed | reply lost during outage |
      | sealed | lease expired during pause |
      | sealed | poison |
      | sealed | disk lost |
      | sealed | clean stop |

  Scenario Outline: A cancelled job stops despite a fault
    Given a cluster with the fault "<fault>" at the step "<step>"
    When a client submits a job until it is accepted
    And a client cancels the job once it has a result
    And the cluster runs until the job has ended
    Then the job is cancelled with at most one result per item
    And nothing changes afterwards

    Examples:
      | step | fault |
      | shard claimed | worker dies |
      | shard claimed | instance lost |
      | shard claimed | resend |
      | shard claimed | service down |
      | shard claimed | service slow |
      | shard claimed | reply lost |
      | shard claimed | reply lost during outage |
      | shard claimed | lease expired during pause |
      | shard claimed | poison |
      | shard claimed | truncated answers |
      | shard claimed | disk lost |
      | shard claimed | clean stop |
      | dispatched | worker dies |
      | dispatched | instance lost |
      | dispatched | resend |
      | dispatched | service down |
      | dispatched | service slow |
      | dispatched | reply lost |
      | dispatched | reply lost during outage |
      | dispatched | lease expired during pause |
      | dispatched | poison |
      | dispatched | truncated answers |
      | dispatched | disk lost |
      | dispatched | clean stop |
      | result committed | worker dies |
      | result committed | instance lost |
      | result committed | resend |
      | result committed | service down |
      | result committed | service slow |
      | result committed | reply lost |
      | result committed | reply lost during outage |
      | result committed | lease expired during pause |
      | result committed | poison |
      | result committed | disk lost |
      | result committed | clean stop |
      | cancel marked | worker dies |
      | cancel marked | instance lost |
      | cancel marked | resend |
      | cancel marked | service down |
      | cancel marked | service slow |
      | cancel marked | reply lost |
      | cancel marked | reply lost during outage |
      | cancel marked | lease expired during pause |
      | cancel marked | poison |
      | cancel marked | disk lost |
      | cancel marked | clean stop |
      | sealed | worker dies |
      | sealed | instance lost |
      | sealed | resend |
      | sealed | service down |
      | sealed | service slow |
      | sealed | reply lost |
      | sealed | reply lost during outage |
      | sealed | lease expired during pause |
      | sealed | poison |
      | sealed | disk lost |
      | sealed | clean stop |
