Feature: Runs of the lab

  Scenario: The lab gives the same measures for the same seed
    Given a small lab scenario with a drain, a stale configuration service and a denied hall
    Then two lab runs with seed 7 differ in wall_seconds only
    And lab runs with seeds 7 and 8 differ

  Scenario: The lab command prints exactly one JSON object
    When the command lab run steady --json --share 0.0005 --policy token is given
    Then the lab command exits with 0 and prints one object with every measure

  Scenario: The lab command refuses a scenario that does not exist
    When the command lab run no-such-scenario is given
    Then the lab command exits with 2 and names rolling-replace-balancers

  Scenario: The lab's network respects partitions and datagram lifetimes
    Then datagrams in the lab never cross a partition and never exceed their lifetime

  Scenario: The balancer's node keeps its promises in the lab's small scenario
    Given a small lab scenario
    When the lab runs it with the balancer's node
    Then the lab finds no broken promise

  Scenario: The balancer's node keeps its promises under random faults in the lab
    Then the lab finds no broken promise under any generated timeline of faults

  Scenario: The lab command plots a result
    When the lab plots the result of a small run
    Then the lab writes a PNG

  Scenario Outline: The lab command accepts the name of a former policy with a warning
    When the command lab run steady --json --share 0.0005 --policy <policy> is given
    Then the lab command exits with 0 and prints one object with every measure
    And the lab command exits with 0 and names <policy>

    Examples:
      | policy       |
      | bounded-load |
      | stateless    |

  Scenario: The lab command prints the packets of one flow
    When the command lab run pause-and-wake --json --share 0.001 --seed 1 --trace b9e772b80f75 is given
    Then the lab command exits with 0 and prints one object with every measure
    And the lab command exits with 0 and names BackendPacket

  Scenario: The lab command refuses a policy that does not exist
    When the command lab run steady --share 0.0005 --policy no-such-policy is given
    Then the lab command exits with 2 and names no-such-policy

  Scenario: A resumed balancer drops packets to back ends that it issued before its pause
    When the command lab run pause-and-wake --json --share 0.1 --seed 1 is given
    Then the lab command exits with 0 and prints one object with every measure

  Scenario Outline: Forwarding by token keeps its promises in the lab
    When the command lab run <scenario> --json --share 0.02 --policy token is given
    Then the lab command exits with 0 and prints one object with every measure

    Examples:
      | scenario                  |
      | rolling-replace-balancers |
      | balancer-crash            |
      | backend-drain             |
      | uneven-updates            |
      | pause-and-wake            |
      | partition-halls           |
      | rough-network             |
      | everything                |
