/** What a daemon is made of. */
import type {Clock, Random} from '@marigoldpost/common';
import type {PeerTransport} from '@marigoldpost/peers';
import type {ObjectStore, VmList} from '@marigoldpost/platform';
import type {LoopLimits} from '@marigoldpost/programs';
import type {DaemonSettings} from '@marigoldpost/settings';
import type {TargetClientFactory} from '@marigoldpost/targets';
import type {EventLogger, Metrics} from '@marigoldpost/telemetry';

/** Interfaces to the outside, and settings. */
export interface DaemonOptions {
  readonly settings: DaemonSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: ObjectStore;
  readonly vmList: VmList;
  readonly transport: PeerTransport;
  /** Own `http://<ip>:<port>` for peers. */
  readonly peerAddress: string;
  readonly logger: EventLogger;
  readonly metrics: Metrics;
  /** Source of targets' clients; HTTP by default. */
  readonly targetClients?: TargetClientFactory;
  /** Bounds against programs that loop. */
  readonly loopLimits?: LoopLimits;
}
