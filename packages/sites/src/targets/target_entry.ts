/** What a target says of itself in the registry. */
import type {DataCentreId, ServiceId, TargetId} from '@marigoldpost/common';

/** A network address. */
export interface NetworkAddress {
  readonly host: string;
  readonly port: number;
}

/** One start of a target. */
export interface TargetEntry {
  readonly id: TargetId;
  readonly service: ServiceId;
  readonly address: NetworkAddress;
  readonly dataCentre: DataCentreId;
  /** Requests that it processes at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Wall time of its start, in milliseconds since 1970; 0 when unknown. */
  readonly startedAtMs: number;
}
