Feature: Real processes keep the promises under failure, with callers running all the time

  Scenario: A crash, a pause and racing operators
    When the probe scenarios crash, pause, racing-operators run side by side
    Then each probe scenario ran to its end and kept every promise
    And every probe process has ended

  Scenario: A stale platform, a rolling replacement and malformed input
    When the probe scenarios stale-platform, rolling, malformed-input run side by side
    Then each probe scenario ran to its end and kept every promise
    And every probe process has ended

  Scenario: A probe that cannot go on ends its processes and says why
    When a probe scenario runs in which a balancer cannot start
    Then the probe scenario has no result and names the balancer
    And every probe process has ended

  Scenario: The probe checks see what is broken
    Then a probe check of silent callers, of unopened flows or of no answer at all is broken
    And a probe watch reports a generation that goes back or is taken from before the failure
    And a probe race is broken where both writers succeed or the loser is told nothing

  Scenario: A limit on a wait leaves out the time in which processes stand in line for a processor
    Beside 30 busy sessions the system gave all processes of three probes 8/31 of a core; each probe
    ended with "after 30 s: no every balancer to forward", as in the runs beside a busy machine.  The
    stand-ins had taken 61 to 65 s to start, 12 to 15 s beside as many busy processes of one session.
    Then a probe wait of 0.3 seconds for what takes 0.8 holds where processes stood in line for 0.6, and else not
    And a probe counts how long its own processes stand in line
