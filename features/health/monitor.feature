Feature: Health and load of back ends
  Evidence from packets outranks claims; ejection never empties a service.

  Scenario: Health ejects a back end that claims to be healthy but leaves packets without an answer
    Given a health monitor of 8 back ends
    When the health of "backend-1" shows 5 silences over 1 second while probes say healthy
    Then the health monitor has ejected "backend-1" only

  Scenario: Health does not eject for many failures at one instant
    Given a health monitor of 8 back ends
    When the health of "backend-1" shows 50 silences over 0 seconds while probes say healthy
    Then the health monitor has ejected nothing

  Scenario: Health keeps a back end that claims to be unhealthy but answers packets
    Given a health monitor of 8 back ends
    When the health of "backend-1" shows an answer and an unhealthy probe each second for 20 seconds
    Then the health monitor has ejected nothing

  Scenario: Health ejects a back end whose probes fail and restores it when it answers a packet
    Given a health monitor of 8 back ends
    When the health of "backend-1" shows 3 failed probes
    Then the health monitor has ejected "backend-1" only
    When the health of "backend-1" shows an answer
    Then the health monitor has ejected nothing

  Scenario: Health forgets failures that a stall of this process explains
    Given a health monitor of 8 back ends
    When the health of "backend-1" shows 4 silences over 1 second while probes say healthy
    And the health monitor is told of a stall
    And the health of "backend-1" shows 4 silences over 1 second while probes say healthy
    Then the health monitor has ejected nothing

  Scenario: Health ejection lasts twice as long each time up to a maximum and ends in a slow start
    Given a health monitor of 8 back ends
    Then health ejections of "backend-1" last 5, 10, 20, 40, 60 and 60 seconds and end in a slow start

  Scenario: Health floor holds under any evidence and any change of configuration
    Then for any evidence at least half of the placeable back ends and one of each service stay available

  Scenario: Health estimates count less with age and warmth grows with time
    Then for any ages the confidence of a health estimate never grows and the warmth never falls

  Scenario: Health estimates leave out what this balancer has itself
    Given a health monitor of 8 back ends with 30 flows and 2 requests of its own at each
    When the health of "backend-1" shows an answer that reports 50 flows and 5 requests
    Then the health estimate of "backend-1" is 20 flows of others

  Scenario: Health takes the newest of reports that come out of order
    Then for any order of health samples the estimate of flows is that of the newest sample

  Scenario: Health probes of each back end are shared out over the cell
    Given the health monitors of a cell of 9 with 40 back ends
    When the health monitors run for 20 seconds
    Then each back end was probed by 2 monitors, between 36 and 44 times in all

  Scenario: Health probes go on when members of the cell are silent
    Given the health monitors of a cell of 9 with 40 back ends
    When 3 of the health monitors fall silent
    And the health monitors run for 20 seconds
    Then each back end was probed by 2 monitors, between 36 and 44 times in all

  Scenario: Health probes are bounded whatever the number of back ends
    Given the health monitors of a cell of 3 with 3000 back ends
    When the health monitors run for 10 seconds
    Then each health monitor sent at most 230 probes

  Scenario: Health samples are shared a few at a time until all were
    Given a health monitor of 8 back ends
    When the health of all back ends is probed
    Then 2 rounds of health samples hold 4 each, all different, and a third one none

  Scenario: Health counts malformed samples and drops those of unknown back ends
    Given a health monitor of 8 back ends
    When health samples with negative numbers and of an unknown back end come
    Then the health monitor counts 3 malformed inputs and estimates nothing from them
