/** Lease objects; each daemon has one. */
import {toId, type DaemonId, type DataCentreId} from '@marigoldpost/common';
import * as z from 'zod';

/** A daemon's lease as stored in the object API. */
export interface Lease {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  /** `http://<ip>:<port>` for requests of peers. */
  readonly address: string;
  /** Increases with each start of the daemon. */
  readonly incarnation: number;
  /** Increases with each renewal, so that each renewal changes the object. */
  readonly renewals: number;
}

/**
 * Share of the lease length that observers wait beyond a lease, to tolerate
 * clock drift.
 */
export const leaseDriftShare = 0.1;

const leaseSchema = z.object({
  daemon: z.string().transform((text) => toId<DaemonId>(text)),
  dataCentre: z.string().transform((text) => toId<DataCentreId>(text)),
  address: z.string(),
  incarnation: z.number(),
  renewals: z.number(),
});

/**
 * Builds the key prefix of a data centre's leases.
 * @param dataCentre - Data centre of the daemons.
 */
export function getLeasePrefix(dataCentre: DataCentreId): string {
  return `leases/${dataCentre}/`;
}

/**
 * Builds the key of a daemon's lease.
 * @param dataCentre - Data centre of the daemon.
 * @param daemon - Daemon that holds the lease.
 */
export function getLeaseKey(
  dataCentre: DataCentreId,
  daemon: DaemonId,
): string {
  return `${getLeasePrefix(dataCentre)}${daemon}`;
}

/**
 * Parses a lease; throws when the value is malformed.
 * @param value - JSON value of a lease object.
 */
export function parseLease(value: string): Lease {
  return leaseSchema.parse(JSON.parse(value));
}
