Feature: The daemon runs a node on sockets

  Scenario: A caller's packet is answered through the node
    Given a runtime daemon with an echo node
    When a runtime caller sends a packet
    Then the runtime caller receives its echo

  Scenario: Invalid datagrams are counted and dropped
    Given a runtime daemon with an echo node
    When the runtime sockets receive malformed, oversized and unauthenticated datagrams
    Then the runtime daemon counted them by kind
    And the runtime daemon still echoes

  Scenario: A failure in the node does not end the daemon
    Given a runtime daemon with an echo node
    When a runtime packet makes the node fail twice
    Then the runtime daemon counted 2 handler failures and logged 1
    And the runtime daemon still echoes

  Scenario: Peers' messages are authenticated and counted
    Given a runtime daemon with an echo node
    When a runtime peer sends an offer, a request and a replay
    Then the runtime node received both messages once
    And the runtime traffic counted both as control

  Scenario: Messages of an earlier version are counted as malformed and dropped
    Given a runtime daemon with an echo node
    When a runtime peer of an earlier version sends a heartbeat, alone and together with an offer
    Then the runtime node received only the message of this version
    And the runtime daemon still echoes

  Scenario: Messages of one batch share datagrams
    When a runtime node sends 40 messages of 100 bytes to each of two peers
    Then the runtime peers receive them in order, in 4 datagrams each

  Scenario: The configuration is read from the platform
    Given a runtime daemon with a stand-in platform
    When the runtime platform receives a configuration and then goes down
    Then the runtime node received the configuration, that it is unchanged, and the failure

  Scenario: No response of the platform makes the check raise
    When runtime configuration responses of arbitrary content are checked
    Then each runtime response was a snapshot or refused with a reason

  Scenario: A planned stop ends with 0 and a second signal with 1
    When a runtime daemon receives SIGTERM and its node completes the stop
    Then the runtime exit code is 0
    When a runtime daemon receives SIGTERM twice before its node completes the stop
    Then the runtime exit code is 1

  Scenario: SIGHUP applies the keys of the file
    Given a runtime daemon with an echo node
    When another key is added to the runtime settings file and the daemon receives SIGHUP
    Then a message of a runtime peer with the new key is accepted

  Scenario: A deadline that moves to an earlier time wakes the daemon earlier
    When a runtime deadline moves to an earlier time during the wait for it
    Then the runtime deadline fired at the earlier time

  Scenario: Timers of an idle balancer are coalesced, those of a busy one are not
    When an idle and a busy balancer wait for a runtime deadline
    Then only the idle runtime deadline was rounded up
