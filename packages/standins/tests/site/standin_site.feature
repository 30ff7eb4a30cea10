Feature: Site of stand-ins

  Scenario: A site starts the targets of its services
    Given a site of stand-ins with 2 data centres, 3 engines and 2 instances of a plain service
    Then the site lists the targets plan-a-1, plan-b-1, plan-a-2, berth-a-1 and berth-b-1
    And each engine of the site reports its load
    And the instances of the site's plain service share a ledger of executions

  Scenario: A model load fails if it exceeds the weight store's rate limit
    Given a site of stand-ins with 1 data centres, 3 engines and 0 instances of a plain service
    When each engine of the site is ordered to load a model
    Then 1 engine of the site has loaded it and the others report the order as not run

  Scenario: A killed engine of a site restarts at the same address
    Given a site of stand-ins with 1 data centres, 1 engines and 0 instances of a plain service
    When the engine of the site is killed and restarted
    Then each engine of the site reports its load
