Feature: What a process decided on before it slept

  Scenario Outline: Packets to back ends that took too long are dropped and counted, replies are not
    When the runtime dispatcher's process sleeps <seconds> s between its decisions and carrying them out
    Then the runtime dispatcher sent <packets> packets to back ends, <replies> replies, and counted <stale> stale

    Examples:
      | seconds | packets | replies | stale |
      | 0.4     | 1       | 1       | 0     |
      | 0.6     | 0       | 1       | 1     |
      | 20.0    | 0       | 1       | 1     |
