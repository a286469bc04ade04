Feature: Histories of losses, restarts and freezes

  Scenario: no history leaves anything behind or tells a caller something wrong
    When 300 histories of up to 60 steps run through 2 entries and 2 agents
    Then nothing is held after each of them and each caller got one true ending

  Scenario: the check notices a reservation that is not released
    When a history runs through an agent whose ledger forgets to release
    Then the check reports that the agent holds tokens
