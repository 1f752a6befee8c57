Feature: Errors that the balancer survives are counted and logged with their reason

  Scenario: A failed receive is not treated as an empty socket
    Given forwarding on a callers' socket whose receives fail with "No buffer space available"
    When forwarding reads that socket 500 times within a second
    Then forwarding has counted 500 failed receives
    And forwarding has logged one line "receive_failed" about "callers" with that reason

  Scenario: A persistent failure is logged repeatedly
    Given forwarding on a callers' socket whose receives fail with "No buffer space available"
    When forwarding reads that socket once a second for 25 seconds
    Then forwarding has logged 3 lines "receive_failed"

  Scenario: An empty socket is not a failure
    Given forwarding on a callers' socket that is empty
    When forwarding reads that socket 500 times within a second
    Then forwarding has counted 0 failed receives
    And forwarding has logged 0 lines "receive_failed"

  Scenario: A packet that cannot be sent is logged with the reason
    Given forwarding on a callers' socket whose sends fail with "Network is unreachable"
    When forwarding sends 500 resets through that socket within a second
    Then forwarding has logged one line "send_failed" about "callers" with that reason

  Scenario Outline: A failed call to the store is logged with the reason
    When forwarding <calls> a store that <does>
    Then forwarding has logged one line "store_call_failed" about "<failure>" with the reason "<reason>"

    Examples:
      | calls   | does                                | failure     | reason                   |
      | reads   | answers with status 503             | refused     | status 503               |
      | watches | answers with status 410             | history_lost | status 410              |
      | reads   | answers with truncated JSON         | malformed   | Input data was truncated |
      | watches | answers with truncated JSON         | malformed   | Input data was truncated |
      | probes  | answers with truncated JSON         | malformed   | Input data was truncated |
      | reads   | does not speak HTTP                 | malformed   | first line               |
      | probes  | refuses connections                 | unreachable | Connection refused       |
      | watches | does not respond                    | timed_out   | TimeoutError             |

  Scenario Outline: An invalid entry is reported with the reason and does not fail the call
    When forwarding <calls> a store that answers with an invalid entry
    Then forwarding has reported that entry as unreadable, with the reason "missing required field"
    And forwarding has logged 0 lines "store_call_failed"

    Examples:
      | calls   |
      | reads   |
      | watches |

  Scenario: A setting whose value cannot be used is logged
    Given platform stand-ins of a store and of two targets
    And the settings file of the next platform balancer contains "limits.cpu_share=half"
    When a platform balancer is started
    Then the platform balancer becomes ready and forwards a flow to one target
    And the platform balancer logs that it ignores "limits.cpu_share"
    When the settings file of the platform balancer also contains "bounds.cold_over=much", and it is signalled
    Then the platform balancer logs that it ignores "bounds.cold_over"

  Scenario Outline: A check that fails for lack of resources in the balancer does not decide on the back end
    When forwarding checks a back end while connections fail with "<error>"
    Then the check has ended as "<result>"
    And the check has reported <count> failures of this process

    Examples:
      | error                  | result      | count |
      | Too many open files    | unknown     | 5     |
      | Cannot assign address  | unknown     | 5     |
      | Connection refused     | unreachable | 0     |
      | No route to host       | unreachable | 0     |

  Scenario: Lack of resources leaves a check undecided although the control is reached
    When forwarding checks a back end without descriptors while the control is reached
    Then the check has ended as "unknown"
