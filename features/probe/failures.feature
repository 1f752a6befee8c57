Feature: Real processes keep the promises under failure and continuous load

  Scenario: A crash, a pause and racing operators
    When the probe scenarios crash, pause, racing-operators run in parallel
    Then each probe scenario completed and kept every promise
    And every probe process has ended

  Scenario: A stale platform, a rolling replacement and malformed input
    When the probe scenarios stale-platform, rolling, malformed-input run in parallel
    Then each probe scenario completed and kept every promise
    And every probe process has ended

  Scenario: A probe that cannot continue ends its processes and reports the reason
    When a probe scenario runs in which a balancer cannot start
    Then the probe scenario has no result and names the balancer
    And every probe process has ended

  Scenario: The probe checks detect broken promises
    Then a probe check fails for silent requests, for unopened flows and without any answer
    And a probe watch reports a generation that decreases and a restart with an older generation
    And a probe race fails if both writers succeed or the second one reports no conflict

  Scenario: Timeouts do not count the time in which processes wait for a processor
    The system shares processors among sessions.  Next to many busy sessions the processes of a probe
    get a fraction of a core, and its balancers do not start within a timeout that counts all time.
    Then a probe wait of 0.3 seconds for a state reached after 0.8 succeeds if processes waited for a processor for 0.6, and times out otherwise
    And a probe measures how long its own processes wait for a processor
