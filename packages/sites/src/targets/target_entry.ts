/** Registry entry of a target. */
import type {DataCentreId, ServiceId, TargetId} from '@marigoldpost/common';
import type {NetworkAddress} from './network_address.js';

/** One registration of a target; a restart registers it again. */
export interface TargetEntry {
  readonly id: TargetId;
  readonly service: ServiceId;
  readonly address: NetworkAddress;
  readonly dataCentre: DataCentreId;
  /** Requests that the target processes concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Wall time of its start, in milliseconds since 1970; 0 when unknown. */
  readonly startedAtMs: number;
}
