/** Complete daemons without sockets on a virtual clock. */
import {
  type DaemonId,
  type DataCentreId,
  type ModelId,
  SeededRandom,
  type TargetId,
  toId,
  VirtualClock,
} from '@marigoldpost/common';
import {DaemonCore} from '@marigoldpost/daemon';
import {ConfigStore} from '@marigoldpost/operations';
import {defaultProcessLimits, parseOperatorsText} from '@marigoldpost/settings';
import {
  MemoryEngine,
  MemoryObjectStore,
  MemoryPeerNetwork,
  MemoryTargetClientFactory,
  MemoryVmList,
} from '@marigoldpost/standins';
import {EventLogger, Metrics} from '@marigoldpost/telemetry';

const dataCentre = toId<DataCentreId>('dc-1');
const engine = toId<TargetId>('llm-1');
const startMs = 20_000;
const operatorsConfiguration = `
[fleet]
lease_ms = 3000

[data_centre dc-1]
region = region-1

[service llm]
kind = engine
models = model-1

[target llm-1]
service = llm
data_centre = dc-1
address = http://192.0.2.1:8000

[team team-1]
approved = yes
key_hashes = ${'ab'.repeat(32)}
services = llm

[operator operator-1]
key_hashes = ${'cd'.repeat(32)}
`;

/** Fleet of daemons in one data centre with one engine. */
export class MemoryFleet {
  readonly clock = VirtualClock.create();
  readonly store = MemoryObjectStore.create({clock: this.clock});
  readonly daemons: DaemonCore[] = [];
  private readonly network = MemoryPeerNetwork.create({
    clock: this.clock,
    delayMs: 1,
  });
  private readonly vmList = MemoryVmList.create({clock: this.clock, lagMs: 0});
  private readonly targetClients = MemoryTargetClientFactory.create();

  private constructor() {}

  /**
   * Creates and starts daemons, and waits until they have divided the
   * partitions.
   * @param daemonCount - Number of daemons.
   */
  static async create(daemonCount: number): Promise<MemoryFleet> {
    const fleet = new MemoryFleet();
    fleet.addEngine();
    await fleet.applyConfiguration();
    for (let index = 0; index < daemonCount; index += 1) fleet.addDaemon(index);
    const started = Promise.all(fleet.daemons.map((core) => core.start()));
    await fleet.clock.advance(startMs);
    await started;
    return fleet;
  }

  /** Kills all daemons and waits until they have stopped. */
  async stop(): Promise<void> {
    const stopped = Promise.all(this.daemons.map((core) => core.kill()));
    await this.clock.advance(startMs);
    await stopped;
  }

  private addEngine(): void {
    const memoryEngine = MemoryEngine.create({
      target: engine,
      clock: this.clock,
      random: SeededRandom.create(1),
      models: [toId<ModelId>('model-1')],
      timeoutMs: 60_000,
      model: {reportsEachToken: true},
      getOutputTokens: ({maxTokens}) => maxTokens,
    });
    this.targetClients.addEngine(engine, memoryEngine);
  }

  private async applyConfiguration(): Promise<void> {
    const {clock, store} = this;
    const random = SeededRandom.create(1);
    const parse = parseOperatorsText;
    const configs = ConfigStore.create({store, clock, random, parse});
    await configs.applyChange({
      text: operatorsConfiguration,
      baseVersion: 0,
      author: 'bench',
      why: 'initial configuration',
    });
  }

  private addDaemon(index: number): void {
    const {clock, vmList, targetClients} = this;
    const name = toId<DaemonId>(`entry-${index + 1}`);
    const peerAddress = `http://192.0.2.${index + 10}:7000`;
    vmList.setVm({name, dataCentre, address: peerAddress, state: 'live'});
    const core = DaemonCore.create({
      settings: {
        name,
        dataCentre,
        callerHost: '192.0.2.1',
        callerPort: 0,
        peerHost: '192.0.2.1',
        peerPort: 0,
        platformAddress: 'http://192.0.2.2:80',
        vmListAddress: 'http://192.0.2.2:81',
        logLevel: 'error',
        maxBodyBytes: 1_048_576,
        ...defaultProcessLimits,
        drainMs: 1000,
      },
      clock,
      random: SeededRandom.create(index + 1),
      store: this.store.createClient(name),
      vmList,
      transport: this.network.createTransport(name),
      peerAddress,
      logger: EventLogger.createSilent(),
      metrics: Metrics.create(),
      targetClients,
    });
    this.daemons.push(core);
  }
}
