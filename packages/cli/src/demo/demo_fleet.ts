/**
 * Eight daemons with stand-ins for their targets, platform and VM list,
 * connected over loopback sockets.
 */
import {
  type DaemonId,
  SeededRandom,
  SystemClock,
  toId,
} from '@marigoldpost/common';
import {Daemon} from '@marigoldpost/daemon';
import {ConfigStore} from '@marigoldpost/operations';
import {
  type DaemonSettings,
  defaultProcessLimits,
  parseOperatorsText,
} from '@marigoldpost/settings';
import {
  findFreePort,
  type SiteAddresses,
  StandinSite,
} from '@marigoldpost/standins';
import {EventLogger} from '@marigoldpost/telemetry';
import {type Deployment, readOperatorsConfig} from './deployment.js';

const host = '127.0.0.1';
const daemonCount = 8;
const maxBodyBytes = 1_048_576;
const drainMs = 10_000;
const pollIntervalMs = 100;
const startTimeoutMs = 20_000;
const seed = 20_261_203;

/** Daemons and stand-ins of one deployment. */
export class DemoFleet {
  readonly clock = SystemClock.create();
  readonly daemons: Daemon[] = [];

  private constructor(
    readonly deployment: Deployment,
    readonly site: StandinSite,
  ) {}

  /**
   * Creates a fleet; `start` starts it.
   * @param deployment - Data centres, services and configuration to run.
   */
  static create(deployment: Deployment): DemoFleet {
    const {dataCentres, services} = deployment;
    const site = StandinSite.create({dataCentres, services, seed});
    return new DemoFleet(deployment, site);
  }

  /**
   * Starts the stand-ins, applies the operators' configuration, starts the
   * daemons and waits until every partition has a holder.
   */
  async start(): Promise<void> {
    const addresses = await this.site.start();
    await this.applyOperatorsConfig();
    for (let index = 0; index < daemonCount; index++) {
      await this.addDaemon(index, addresses);
    }
    await Promise.all(this.daemons.map((daemon) => daemon.start()));
    await this.waitForPartitionHolders();
  }

  /** Kills the daemons and stops the stand-ins. */
  async stop(): Promise<void> {
    await Promise.allSettled(this.daemons.map((daemon) => daemon.kill()));
    await this.site.stop();
  }

  /**
   * Gets the address at which an entry VM accepts calls.
   * @param index - Index of the entry VM, from 0; wraps around.
   */
  getCallerAddress(index: number): string {
    const daemon = this.daemons[index % this.daemons.length];
    return `http://${host}:${daemon?.callerPort ?? 0}`;
  }

  private async applyOperatorsConfig(): Promise<void> {
    const configs = ConfigStore.create({
      store: this.site.store,
      clock: this.clock,
      random: SeededRandom.create(seed),
      parse: parseOperatorsText,
    });
    await configs.applyChange({
      text: await readOperatorsConfig(this.deployment),
      baseVersion: 0,
      author: 'demo',
      why: 'first text',
    });
  }

  private async addDaemon(
    index: number,
    {platformAddress, vmListAddress}: SiteAddresses,
  ): Promise<void> {
    const {dataCentres} = this.deployment;
    const dataCentre = dataCentres[index % dataCentres.length]!;
    const peerPort = await findFreePort();
    const name = toId<DaemonId>(`entry-${index + 1}`);
    const settings: DaemonSettings = {
      name,
      dataCentre,
      callerHost: host,
      callerPort: 0,
      peerHost: host,
      peerPort,
      platformAddress,
      vmListAddress,
      logLevel: 'error',
      maxBodyBytes,
      ...defaultProcessLimits,
      drainMs,
    };
    const address = `http://${host}:${peerPort}`;
    this.site.vmList.setVm({name, dataCentre, address, state: 'live'});
    this.daemons.push(Daemon.create(settings, EventLogger.createSilent()));
  }

  /** Waits until every partition has a holder. */
  private async waitForPartitionHolders(): Promise<void> {
    const deadlineMs = this.clock.nowMs() + startTimeoutMs;
    while (this.countHeldPartitions() < this.countPartitions()) {
      if (this.clock.nowMs() > deadlineMs) {
        throw new Error(
          `some partitions have no holder after ${startTimeoutMs} ms`,
        );
      }
      await this.clock.sleep(pollIntervalMs);
    }
  }

  private countHeldPartitions(): number {
    const counts = this.daemons.map(
      ({core}) => core.manager.getPartitions().length,
    );
    return counts.reduce((sum, count) => sum + count, 0);
  }

  private countPartitions(): number {
    const config = this.daemons[0]?.core.getConfig();
    if (config === undefined) return Infinity;
    return config.dataCentres.size * config.fleet.partitionsPerDataCentre;
  }
}
