/** Settings of a daemon: its VM, addresses, limits and peers. */
import type {DaemonId, DataCentreId} from '@marigoldpost/common';
import type {NetworkAddress} from '../targets/network_address.js';

/** Time bounds that the operators guarantee or require. */
export interface NodeBounds {
  /** Time until the balancer stops sending connections to an unready daemon. */
  readonly balancerNoticeMs: number;
  /** Time between the stop signal and the kill. */
  readonly graceMs: number;
  /** Time after the removal of a target for which it may receive requests. */
  readonly drainMs: number;
  /** Time without disruption after which bounds oblige a daemon again. */
  readonly contactMs: number;
  /** `undefined` on a site without quotas. */
  readonly quota?: QuotaBounds | undefined;
}

/** How far a tenant's requests may exceed its quota, over all entry VMs. */
export interface QuotaBounds {
  /** Length of the sliding window in which requests are counted. */
  readonly windowMs: number;
  /** Part by which a window may exceed the quota. */
  readonly excess: number;
  /** Further requests beyond the quota that a window may have. */
  readonly slack: number;
}

/** Settings of one daemon, decoded from the platform's format. */
export interface NodeSettings {
  readonly daemon: DaemonId;
  readonly ip: string;
  readonly dataCentre: DataCentreId;
  /** Listening address for clients; entry VMs only. */
  readonly callerAddress: NetworkAddress | undefined;
  /** Listening address of the balancer's readiness checks. */
  readonly readyAddress: NetworkAddress | undefined;
  /** Listening port for peer daemons. */
  readonly peerPort: number;
  /** Listening port for requests that this daemon relays; entry VMs only. */
  readonly relayPort: number;
  /** Archives to read the site from at start; some may be down. */
  readonly seeds: readonly NetworkAddress[];
  /** Listening port of the metrics page. */
  readonly metricsPort: number;
  /** Persistent data folder; VMs with a disk only. */
  readonly dataFolder: string | undefined;
  /** Whether this is the first start of the whole site. */
  readonly isFirstStart: boolean;
  /** Number of disks whose simultaneous loss must be tolerated. */
  readonly toleratedDisks: number;
  readonly memoryMb: number;
  /** Descriptors that the process may open; `undefined` if not limited. */
  readonly maxDescriptors?: number | undefined;
  /** Address of the platform's object API. */
  readonly platformAddress: NetworkAddress;
  /** Write calls a second that the object API accepts from the whole site. */
  readonly storeWritesPerS: number;
  readonly bounds: NodeBounds;
}
