Feature: The daemon runs a node on sockets

  Scenario: A caller's packet is answered through the node
    Given a runtime daemon with an echo node
    When a runtime caller sends a packet
    Then the runtime caller gets its echo

  Scenario: What cannot be taken is counted and dropped
    Given a runtime daemon with an echo node
    When the runtime sockets get malformed, oversized and unauthenticated datagrams
    Then the runtime daemon counted them by kind
    And the runtime daemon still echoes

  Scenario: A failure in the node does not end the daemon
    Given a runtime daemon with an echo node
    When a runtime packet makes the node fail twice
    Then the runtime daemon counted 2 handler failures and logged 1
    And the runtime daemon still echoes

  Scenario: Peers' messages are sealed, opened and counted
    Given a runtime daemon with an echo node
    When a runtime peer sends an offer, a request and a replay
    Then the runtime node got both messages once
    And the runtime traffic counted both as control

  Scenario: Messages of an earlier version are counted as malformed and dropped
    Given a runtime daemon with an echo node
    When a runtime peer of an earlier version sends a heartbeat, alone and beside an offer
    Then the runtime node got the one message that is of this version
    And the runtime daemon still echoes

  Scenario: Messages of one batch share datagrams
    When a runtime node sends 40 messages of 100 bytes to each of two peers
    Then the runtime peers get them in order, in 4 datagrams each

  Scenario: The configuration is read from the platform
    Given a runtime daemon beside a stand-in platform
    When the runtime platform gets a configuration and then goes down
    Then the runtime node got the configuration, that it is unchanged, and the failure

  Scenario: No answer of the platform makes the check raise
    When runtime configuration answers of arbitrary content are checked
    Then each runtime answer was a snapshot or refused with a reason

  Scenario: A planned stop ends with 0 and a second signal with 1
    When a runtime daemon gets SIGTERM and its node completes the stop
    Then the runtime exit code is 0
    When a runtime daemon gets SIGTERM twice before its node completes the stop
    Then the runtime exit code is 1

  Scenario: SIGHUP takes the keys of the file into use
    Given a runtime daemon with an echo node
    When the runtime settings file gets another key and the daemon SIGHUP
    Then a runtime peer with the new key is heard

  Scenario: A deadline that moves forward wakes the daemon earlier
    When a runtime deadline moves forward while it is waited for
    Then the runtime deadline fired at the earlier time

  Scenario: Timers of an idle balancer coalesce, those of a busy one do not
    When a runtime deadline is waited for by an idle and by a busy balancer
    Then only the idle runtime deadline was rounded up
