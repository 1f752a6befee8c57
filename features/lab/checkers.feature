Feature: The lab's checkers detect every broken promise
  Each node breaks one promise on purpose; the result must report it and name an event.

  Scenario: The lab reports no broken promise for a correct node
    Given a small lab scenario
    When the lab runs it with the stateless node
    Then the lab finds no broken promise

  Scenario Outline: The lab detects a <node> node
    Given a small lab scenario with a drain, a stale configuration service and a denied hall
    When the lab runs it with a <node> node
    Then the lab finds that <promise> is broken

    Examples:
      | node             | promise                            |
      | moving           | broken_flows                       |
      | random-choice    | broken_flows                       |
      | silent           | broken_flows                       |
      | misrouting       | misrouted_packets                  |
      | place-ignoring   | place_violations                   |
      | misdelivering    | answers_crossed                    |
      | truncating       | answers_incomplete                 |
      | duplicating      | duplicate_executions               |
      | falsely-refusing | false_not_run                      |
      | falsely-refusing | refused                            |
      | result-losing    | outcome_unknown                    |
      | stale            | new_work_after_drain_seconds       |
      | stale            | configuration_in_force_seconds_max |
      | reverting        | configuration_reverts              |
      | chatty           | control_bytes_per_second_mean      |

  Scenario: The lab detects a skewed node
    Given a small lab scenario that expects balance
    When the lab runs it with a skewed node
    Then the lab finds that imbalance_p99 is broken
    And the lab measures an imbalance of 1 for even load and of 5 for load at one of 5

  Scenario: The lab counts flows cut off by faults separately from broken ones
    Given a small lab scenario that partitions all balancers from the playback back ends for 16 s
    When the lab runs it with the stateless node
    Then the lab finds no broken promise
    And the lab counts flows as cut off
