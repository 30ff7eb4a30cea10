/** Decision whether a daemon may continue to hold its partitions. */
import type {Clock, DaemonId, DataCentreId} from '@marigoldpost/common';
import type {
  FleetMember,
  FleetView,
  LeaseRenewer,
} from '@marigoldpost/platform';

/**
 * Fraction of a lease for which a daemon continues once peers reach the
 * platform again. Those peers wait for a whole lease before they take over.
 */
const graceFraction = 0.5;

/** Dependencies of a lease guard. */
export interface LeaseGuardParts {
  readonly clock: Clock;
  readonly leases: Pick<LeaseRenewer, 'isHeld'>;
  readonly fleet: FleetView;
  readonly dataCentre: DataCentreId;
  /** Gets the configured duration of a lease, in milliseconds. */
  readonly getLeaseMs: () => number;
}

/**
 * Allows a daemon to hold its partitions beyond its lease while no peer can
 * take over: every peer that could is known to be cut off from the platform
 * too, or to be dead.
 */
export class LeaseGuard {
  private leaseHolders: readonly DaemonId[] = [];
  /** Time of the last check without a lease that found no takeover possible. */
  private lastSafeAtMs = -Infinity;

  private constructor(private readonly parts: LeaseGuardParts) {}

  /**
   * Creates a guard that knows no other lease holders yet.
   * @param parts - Own lease and view of the fleet.
   */
  static create(parts: LeaseGuardParts): LeaseGuard {
    return new LeaseGuard(parts);
  }

  /**
   * Sets the daemons of the data centre that held a lease when the leases were
   * last read from the platform.
   * @param leaseHolders - Daemons other than this one.
   */
  setLeaseHolders(leaseHolders: readonly DaemonId[]): void {
    this.leaseHolders = leaseHolders;
  }

  /** Whether this daemon may continue to hold its partitions now. */
  mayHold(): boolean {
    const {clock, getLeaseMs, leases} = this.parts;
    const nowMs = clock.nowMs();
    if (leases.isHeld()) {
      this.lastSafeAtMs = -Infinity;
      return true;
    }
    if (!this.seesAllLeaseHolders()) return false;
    if (this.isTakeoverImpossible()) {
      this.lastSafeAtMs = nowMs;
      return true;
    }
    return nowMs - this.lastSafeAtMs < getLeaseMs() * graceFraction;
  }

  /** Whether the fleet view contains every daemon that could take over. */
  private seesAllLeaseHolders(): boolean {
    const visible = new Set(this.getLocalMembers().map(({daemon}) => daemon));
    return this.leaseHolders.every((daemon) => visible.has(daemon));
  }

  private isTakeoverImpossible(): boolean {
    return this.getLocalMembers().every(cannotTakeOver);
  }

  private getLocalMembers(): readonly FleetMember[] {
    const {dataCentre, fleet} = this.parts;
    const members = fleet.getMembers();
    return members.filter((member) => member.dataCentre === dataCentre);
  }
}

function cannotTakeOver({reachesPlatform, state}: FleetMember): boolean {
  return state === 'dead' || (state === 'alive' && !reachesPlatform);
}
