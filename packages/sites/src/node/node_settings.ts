/** What a process learns about its VM and its surroundings. */
import type {DaemonId, DataCentreId} from '@marigoldpost/common';
import type {NetworkAddress} from '../targets/target_entry.js';

/** Bounds that the operators promise or ask for. */
export interface NodeBounds {
  /** Time until the balancer sends no new connections to a daemon. */
  readonly balancerNoticeMs: number;
  /** Time between the request to stop and the kill. */
  readonly graceMs: number;
}

/** Settings of one process. */
export interface NodeSettings {
  readonly daemon: DaemonId;
  readonly ip: string;
  readonly dataCentre: DataCentreId;
  /** Where clients connect; entry VMs only. */
  readonly callerAddress: NetworkAddress | undefined;
  /** Where the balancer asks whether the daemon is ready. */
  readonly readyAddress: NetworkAddress | undefined;
  /** Port for other daemons. */
  readonly peerPort: number;
  /** Archives that may know the site already; some may be away. */
  readonly seeds: readonly NetworkAddress[];
  /** Port of the metrics page. */
  readonly metricsPort: number;
  /** Folder that outlives the process; VMs with a disk only. */
  readonly dataFolder: string | undefined;
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  /** Disks whose loss at once must be borne. */
  readonly toleratedDisks: number;
  readonly memoryMb: number;
  /** Object API of the platform. */
  readonly platformAddress: NetworkAddress;
  readonly bounds: NodeBounds;
}
