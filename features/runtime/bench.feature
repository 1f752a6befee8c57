Feature: The bench measures the real data path

  Scenario: Open flows are counted with the memory they take
    When the runtime bench opens 400 flows
    Then the runtime bench reports 400 flows and their memory

  Scenario: The bare loop handles what it is sent
    When the runtime bench runs 3 batches of the bare loop
    Then the runtime bench counted 192 packets and their processor time
