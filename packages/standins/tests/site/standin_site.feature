Feature: Site of stand-ins

  Scenario: A site starts what a deployment needs
    Given a site of stand-ins with 2 data centres, 3 engines and 2 instances of a plain service
    Then the site lists the targets plan-a-1, plan-b-1, plan-a-2, berth-a-1 and berth-b-1
    And each engine of the site reports its load
    And the instances of the site's plain service share what they ran

  Scenario: Loading models keeps to the weight store's rate
    Given a site of stand-ins with 1 data centres, 3 engines and 0 instances of a plain service
    When each engine of the site is ordered to load a model
    Then 1 engine of the site has loaded it and the others say that the order was not run

  Scenario: A killed engine of a site comes back at its address
    Given a site of stand-ins with 1 data centres, 1 engines and 0 instances of a plain service
    When the engine of the site is killed and started again
    Then each engine of the site reports its load
