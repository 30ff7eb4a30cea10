/** Steps for the contract of VM list clients. */
import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {
  type DataCentreId,
  isErrorOfKind,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {HttpVmList, type VmList} from '@marigoldpost/platform';
import {MemoryVmList, VmListServer} from '@marigoldpost/standins';
import {addCleanup} from '../../../common/tests/fixtures/cleanup.js';

interface VmListWorld extends World {
  clock: VirtualClock;
  memory: MemoryVmList;
  vmList: VmList;
  vmServer?: VmListServer;
  states: string[];
}

Given(
  'a VM list over {word} that lags by {int} ms',
  async function (this: VmListWorld, transport: string, lagMs: number) {
    this.clock = VirtualClock.create();
    this.memory = MemoryVmList.create({clock: this.clock, lagMs});
    this.vmList = this.memory;
    if (transport === 'memory') return;
    const server = VmListServer.create({vmList: this.memory});
    this.vmServer = server;
    const address = await server.start();
    const clock = VirtualClock.create();
    const client = HttpVmList.create({address, timeoutMs: 1000, clock});
    this.vmList = client;
    addCleanup(this, async () => {
      await server.kill();
      await client.close();
    });
  },
);

When(
  'a VM is listed as live, and as leaving 1000 ms later',
  async function (this: VmListWorld) {
    this.memory.setVm({
      name: 'runner-1',
      dataCentre: toId<DataCentreId>('cai-mep'),
      address: 'http://127.0.0.1:1',
      state: 'live',
    });
    this.states = [];
    for (const atMs of [400, 600, 1000, 1400, 1600]) {
      this.clock.skip(atMs - this.clock.nowMs());
      if (atMs === 1000) this.memory.setState('runner-1', 'leaving');
      else this.states.push(await readState(this.vmList));
    }
  },
);

Then(
  'the VM list shows {word} at 400, 600, 1400 and 1600 ms',
  function (this: VmListWorld, states: string) {
    assert.equal(this.states.join(','), states);
  },
);

When(
  /^the VM list has (an outage|a dead process)$/,
  async function (this: VmListWorld, fault: string) {
    if (fault === 'an outage') this.memory.setOutage(true);
    else await this.vmServer?.kill();
  },
);

Then(
  "the VM list's client gets store_unavailable",
  async function (this: VmListWorld) {
    await assert.rejects(this.vmList.getVms(), (error) =>
      isErrorOfKind(error, 'store_unavailable'),
    );
  },
);

async function readState(vmList: VmList): Promise<string> {
  const [vm] = await vmList.getVms();
  return vm?.state ?? 'none';
}
