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
