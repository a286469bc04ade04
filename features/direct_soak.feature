Feature: A short soak of entry processes under faults from outside

  Scenario Outline: promises are kept while faults come in series
    When the soak runs with seed <seed> for <seconds> seconds
    Then no promise is broken, and requests were served

    Examples: the usual seeds
      | seed | seconds |
      | 1    | 8       |
      | 2    | 8       |
