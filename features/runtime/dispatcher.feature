Feature: Commands that a stalled process carries out late

  Scenario Outline: Late packets to back ends are dropped and counted, replies are sent
    When the runtime dispatcher's process stalls for <seconds> s between its decisions and carrying them out
    Then the runtime dispatcher sent <packets> packets to back ends, <replies> replies, and counted <stale> stale

    Examples:
      | seconds | packets | replies | stale |
      | 0.4     | 1       | 1       | 0     |
      | 0.6     | 0       | 1       | 1     |
      | 20.0    | 0       | 1       | 1     |
