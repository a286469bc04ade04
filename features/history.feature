Feature: Generated histories of message loss, restarts and frozen agents

  Scenario: no history leaks reservations or gives a caller a wrong response
    When 300 histories of up to 60 steps run through 2 entries and 2 agents
    Then each of them releases everything and each caller gets one correct ending

  Scenario: the check detects a reservation that is not released
    When a history runs through an agent that does not release reservations
    Then the check reports that the agent holds tokens
