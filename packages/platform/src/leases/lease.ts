/** Lease objects: one for each daemon. */
import {toId, type DaemonId, type DataCentreId} from '@marigoldpost/common';
import * as z from 'zod';

/** A daemon's lease. */
export interface Lease {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  /** `http://<ip>:<port>` for peers. */
  readonly address: string;
  /** Grows with each start of the daemon. */
  readonly incarnation: number;
  /** Grows with each renewal. */
  readonly renewals: number;
}

/** Share of its length that observers wait beyond a lease, against drift. */
export const leaseDriftShare = 0.1;

const leaseSchema = z.object({
  daemon: z.string().transform((text) => toId<DaemonId>(text)),
  dataCentre: z.string().transform((text) => toId<DataCentreId>(text)),
  address: z.string(),
  incarnation: z.number(),
  renewals: z.number(),
});

/**
 * Gets the start of the keys of a data centre's leases.
 * @param dataCentre - The data centre.
 */
export function getLeasePrefix(dataCentre: DataCentreId): string {
  return `leases/${dataCentre}/`;
}

/**
 * Gets the key of a daemon's lease.
 * @param dataCentre - Its data centre.
 * @param daemon - The daemon.
 */
export function getLeaseKey(
  dataCentre: DataCentreId,
  daemon: DaemonId,
): string {
  return `${getLeasePrefix(dataCentre)}${daemon}`;
}

/**
 * Reads a lease.
 * @param value - Value of a lease object.
 */
export function parseLease(value: string): Lease {
  return leaseSchema.parse(JSON.parse(value));
}
