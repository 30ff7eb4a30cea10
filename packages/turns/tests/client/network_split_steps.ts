/** Steps for turns that finish while the network is split. */
import {Given, type World} from '@cucumber/cucumber';
import type {ArchiveFleet} from '../fixtures/archive_fleet.js';

interface SplitWorld extends World {
  archives: ArchiveFleet;
}

Given(
  'the VMs of archives that are down refuse connections',
  function (this: SplitWorld) {
    this.archives.areKilledVmsUp = true;
  },
);
