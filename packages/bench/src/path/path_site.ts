/** Daemon with stand-ins of external services, for measuring the path. */
import {
  type DaemonId,
  type DataCentreId,
  getDigest,
  type ModelId,
  SeededRandom,
  type ServiceId,
  SystemClock,
  toId,
} from '@marigoldpost/common';
import {Daemon} from '@marigoldpost/daemon';
import {ConfigStore} from '@marigoldpost/operations';
import {HttpObjectStore} from '@marigoldpost/platform';
import {defaultProcessLimits, parseOperatorsText} from '@marigoldpost/settings';
import {
  findFreePort,
  type SiteAddresses,
  type SiteDescription,
  type SiteTarget,
  StandinSite,
} from '@marigoldpost/standins';
import {EventLogger} from '@marigoldpost/telemetry';

const host = '127.0.0.1';
const dataCentre = toId<DataCentreId>('bench');
const seed = 1;
const pollMs = 20;
const platformTimeoutMs = 3000;
const maxBodyBytes = 1_048_576;
const drainMs = 1000;
const stepMs = 0.01;
const maxRunning = 256;
const totalBlocks = 100_000;

/** API key of the only calling team. */
export const benchKey = 'bench-example-key';
/** Model that the engine serves. */
export const benchModel = toId<ModelId>('tide-1b');

/** One daemon, the stand-ins that it uses, and a client of the platform. */
export class PathSite {
  private readonly clock = SystemClock.create();

  private constructor(
    private readonly site: StandinSite,
    private readonly daemon: Daemon,
    /** Client configured like the daemon's, for measuring single commits. */
    readonly store: HttpObjectStore,
  ) {}

  /**
   * Starts the stand-ins and the daemon, and waits until it serves calls.
   * @param answerTokens - Tokens of each answer of the engine.
   */
  static async start(answerTokens: number): Promise<PathSite> {
    const site = StandinSite.create(createDescription(answerTokens));
    const addresses = await site.start();
    await applyConfiguration(site);
    const daemon = await createDaemon(site, addresses);
    const store = HttpObjectStore.create({
      address: addresses.platformAddress,
      timeoutMs: platformTimeoutMs,
      clock: SystemClock.create(),
    });
    const started = new PathSite(site, daemon, store);
    await daemon.start();
    await started.waitUntilServing();
    return started;
  }

  /** Address of the callers' API. */
  get callerAddress(): string {
    return `http://${host}:${this.daemon.callerPort}`;
  }

  /** Number of writes that reached the platform. */
  get platformWrites(): number {
    return this.site.store.getTotalCallCounts().writes;
  }

  /**
   * Gets the address of the engine or of the plain service.
   * @param kind - Kind of the target.
   */
  getTargetAddress(kind: SiteTarget['kind']): string {
    const targets = this.site.getTargets();
    return targets.find((target) => target.kind === kind)?.address ?? '';
  }

  /** Stops the daemon and the stand-ins. */
  async stop(): Promise<void> {
    await this.daemon.kill();
    await this.site.stop();
  }

  /** Waits until the daemon holds its partition and its gateway is ready. */
  private async waitUntilServing(): Promise<void> {
    const {core} = this.daemon;
    while (
      core.manager.getPartitions().length === 0 ||
      !core.gateway.isReady()
    ) {
      await this.clock.sleep(pollMs);
    }
  }
}

function createDescription(answerTokens: number): SiteDescription {
  return {
    dataCentres: [dataCentre],
    seed,
    services: [
      {
        kind: 'engine',
        id: toId<ServiceId>('engine'),
        count: 1,
        models: [benchModel],
        // As fast as the engine's timer allows, so that the path dominates.
        model: {
          stepBaseMs: stepMs,
          stepPerStreamMs: 0,
          prefillMsPerToken: 0,
          maxRunning,
          totalBlocks,
          reportsEachToken: true,
        },
        getOutputTokens: () => answerTokens,
      },
      {kind: 'plain', id: toId<ServiceId>('plain'), count: 1, latencyMs: 0},
    ],
  };
}

async function applyConfiguration(site: StandinSite): Promise<void> {
  const configs = ConfigStore.create({
    store: site.store,
    clock: SystemClock.create(),
    random: SeededRandom.create(seed),
    parse: parseOperatorsText,
  });
  await configs.applyChange({
    text: createConfiguration(site),
    baseVersion: 0,
    author: 'bench',
    why: 'measurement',
  });
}

function createConfiguration(site: StandinSite): string {
  const targets = site
    .getTargets()
    .flatMap(({id, service, address}) => [
      `[target ${id}]`,
      `service = ${service}`,
      `data_centre = ${dataCentre}`,
      `address = ${address}`,
    ]);
  return [
    '[fleet]',
    'partitions_per_data_centre = 1',
    `[data_centre ${dataCentre}]`,
    'region = bench',
    '[service engine]',
    'kind = engine',
    `models = ${benchModel}`,
    '[service plain]',
    'kind = plain',
    ...targets,
    '[team bench]',
    'approved = yes',
    `key_hashes = ${getDigest(benchKey)}`,
    'services = engine, plain',
    '[operator bench]',
    `key_hashes = ${getDigest('operator-example-key')}`,
  ].join('\n');
}

async function createDaemon(
  site: StandinSite,
  {platformAddress, vmListAddress}: SiteAddresses,
): Promise<Daemon> {
  const name = toId<DaemonId>('entry-1');
  const peerPort = await findFreePort();
  const address = `http://${host}:${peerPort}`;
  site.vmList.setVm({name, dataCentre, address, state: 'live'});
  const settings = {
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
  } as const;
  return Daemon.create(settings, EventLogger.createSilent());
}
