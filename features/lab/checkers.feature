Feature: The lab's checkers see every broken promise
  Each node breaks one promise on purpose; the run must say so and name an event.

  Scenario: The lab finds nothing where nothing is broken
    Given a small lab scenario
    When the lab runs it with the stateless node
    Then the lab finds no broken promise

  Scenario Outline: The lab catches a <node> node
    Given a small lab scenario with a drain, a stale configuration service and a denied hall
    When the lab runs it with a <node> node
    Then the lab finds that <promise> is broken

    Examples:
      | node           | promise                            |
      | moving         | broken_flows                       |
      | forgetting     | broken_flows                       |
      | silent         | broken_flows                       |
      | misrouting     | misrouted_packets                  |
      | place-ignoring | place_violations                   |
      | crossing       | answers_crossed                    |
      | cutting        | answers_incomplete                 |
      | doubling       | duplicate_executions               |
      | denying        | false_not_run                      |
      | denying        | refused                            |
      | doubting       | outcome_unknown                    |
      | outdated       | new_work_after_drain_seconds       |
      | outdated       | configuration_in_force_seconds_max |
      | reverting      | configuration_reverts              |
      | talkative      | control_bytes_per_second_mean      |

  Scenario: The lab catches a lopsided node
    Given a small lab scenario that expects balance
    When the lab runs it with a lopsided node
    Then the lab finds that imbalance_p99 is broken
    And the lab measures an imbalance of 1 for even work and of 5 for work at one of 5

  Scenario: The lab tells flows cut off by faults from broken ones
    Given a small lab scenario that cuts all balancers from the playback back ends for 16 s
    When the lab runs it with the stateless node
    Then the lab finds no broken promise
    And the lab counts flows as cut off
