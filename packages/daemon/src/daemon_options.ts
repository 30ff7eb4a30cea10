/** Settings and external interfaces of a daemon. */
import type {Clock, Random} from '@marigoldpost/common';
import type {PeerTransport} from '@marigoldpost/peers';
import type {ObjectStore, VmList} from '@marigoldpost/platform';
import type {LoopLimits} from '@marigoldpost/programs';
import type {DaemonSettings} from '@marigoldpost/settings';
import type {TargetClientFactory} from '@marigoldpost/targets';
import type {EventLogger, Metrics} from '@marigoldpost/telemetry';

/** Settings, and interfaces to the network, the platform and the clock. */
export interface DaemonOptions {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly vmList: VmList;
  readonly transport: PeerTransport;
  /** Address at which peers reach the daemon, as `http://<ip>:<port>`. */
  readonly peerAddress: string;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
  /** Creates the clients of targets; HTTP clients by default. */
  readonly targetClients?: TargetClientFactory;
  /** Limits that stop programs that call in an endless loop. */
  readonly loopLimits?: LoopLimits;
}
