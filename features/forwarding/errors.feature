Feature: An error that does not end the balancer is counted and logged with its reason

  Scenario: A receive that fails is not taken for an empty socket
    Given forwarding on a callers' socket whose receives fail with "No buffer space available"
    When forwarding reads that socket 500 times within a second
    Then forwarding has counted 500 failed receives
    And forwarding has logged one line "receive_failed" about "callers" with that reason

  Scenario: A failure that goes on is logged again
    Given forwarding on a callers' socket whose receives fail with "No buffer space available"
    When forwarding reads that socket once a second for 25 seconds
    Then forwarding has logged 3 lines "receive_failed"

  Scenario: An empty socket is no failure
    Given forwarding on a callers' socket on which nothing waits
    When forwarding reads that socket 500 times within a second
    Then forwarding has counted 0 failed receives
    And forwarding has logged 0 lines "receive_failed"

  Scenario: A packet that cannot be sent is logged with the reason
    Given forwarding on a callers' socket whose sends fail with "Network is unreachable"
    When forwarding sends 500 resets through that socket within a second
    Then forwarding has logged one line "send_failed" about "callers" with that reason

  Scenario Outline: A call to the store that brings nothing is logged with the reason
    When forwarding <calls> a store that <does>
    Then forwarding has logged one line "store_call_failed" about "<failure>" with the reason "<reason>"

    Examples:
      | calls   | does                                | failure     | reason                   |
      | reads   | answers with status 503             | refused     | status 503               |
      | watches | answers with status 410             | history_lost | status 410              |
      | reads   | answers with JSON that breaks off   | malformed   | Input data was truncated |
      | watches | answers with JSON that breaks off   | malformed   | Input data was truncated |
      | probes  | answers with JSON that breaks off   | malformed   | Input data was truncated |
      | reads   | does not speak HTTP                 | malformed   | first line               |
      | probes  | refuses connections                 | unreachable | Connection refused       |
      | watches | says nothing                        | timed_out   | TimeoutError             |

  Scenario Outline: An entry that names no back end fails no call, and says why
    When forwarding <calls> a store that answers with an entry that is none
    Then forwarding has taken that entry as one that cannot be read, for the reason "missing required field"
    And forwarding has logged 0 lines "store_call_failed"

    Examples:
      | calls   |
      | reads   |
      | watches |

  Scenario: A setting whose value cannot be used is logged
    Given platform stand-ins of a store and of two targets
    And the settings file of the next platform balancer says "limits.cpu_share=half"
    When a platform balancer is started
    Then the platform balancer becomes ready and forwards a flow to one target
    And the platform balancer logs that it ignores "limits.cpu_share"
    When the settings file of the platform balancer says "bounds.cold_over=much" too, and it is signalled
    Then the platform balancer logs that it ignores "bounds.cold_over"

  Scenario Outline: A check that fails for want of resources here says nothing about the back end
    When forwarding checks a back end while connections fail with "<error>"
    Then the check has ended as "<result>"
    And the check has reported <count> failures of its own

    Examples:
      | error                  | result      | count |
      | Too many open files    | unknown     | 5     |
      | Cannot assign address  | unknown     | 5     |
      | Connection refused     | unreachable | 0     |
      | No route to host       | unreachable | 0     |

  Scenario: A shortage here is not outweighed by another back end that is reached
    When forwarding checks a back end without descriptors while another one is reached
    Then the check has ended as "unknown"
