Feature: Only a whole refusal of its own tells that a request did not run

  Scenario Outline: a copy of a refusal that stops inside its head refuses no later request
    Given an entry before 2 servers that send cut copies of their <status> refusals
    When for each place in the head a caller posts twice
    Then no request ran more than once
    And a status that states that the request did not run is true

    Examples:
      | status |
      | 421    |
      | 503    |
