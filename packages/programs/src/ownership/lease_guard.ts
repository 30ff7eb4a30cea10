/** Whether a daemon may go on with its partitions. */
import type {Clock, DaemonId, DataCentreId} from '@marigoldpost/common';
import type {FleetMember, FleetView, LeaseKeeper} from '@marigoldpost/platform';

/**
 * Share of a lease for which a daemon goes on once others reach the platform
 * again: they wait for a whole lease before they take over.
 */
const graceShare = 0.5;

/** Parts of a guard. */
export interface LeaseGuardParts {
  readonly clock: Clock;
  readonly leases: Pick<LeaseKeeper, 'isHeld'>;
  readonly fleet: FleetView;
  readonly dataCentre: DataCentreId;
  /** Gets the length of the lease in force, in milliseconds. */
  readonly getLeaseMs: () => number;
}

/**
 * Lets a daemon go on past its lease while no other can take over: each one
 * that could is known to be cut off from the platform too, or not to run.
 */
export class LeaseGuard {
  private roster: readonly DaemonId[] = [];
  /** When the daemon last was surely the holder. */
  private sureAtMs = -Infinity;

  private constructor(private readonly parts: LeaseGuardParts) {}

  /**
   * Creates a guard.
   * @param parts - Own lease and view of the fleet.
   */
  static create(parts: LeaseGuardParts): LeaseGuard {
    return new LeaseGuard(parts);
  }

  /**
   * Sets the daemons of the data centre that had a lease when the platform was
   * last read.
   * @param roster - The daemons, this one left out.
   */
  setRoster(roster: readonly DaemonId[]): void {
    this.roster = roster;
  }

  /** Whether the partitions may still be held. */
  mayHold(): boolean {
    const {clock, getLeaseMs, leases} = this.parts;
    const nowMs = clock.nowMs();
    if (leases.isHeld()) {
      this.sureAtMs = -Infinity;
      return true;
    }
    if (!this.seesAll()) return false;
    if (this.isAloneWithoutPlatform()) {
      this.sureAtMs = nowMs;
      return true;
    }
    return nowMs - this.sureAtMs < getLeaseMs() * graceShare;
  }

  /** Whether every daemon that could take over is known. */
  private seesAll(): boolean {
    const known = new Set(this.getNear().map(({daemon}) => daemon));
    return this.roster.every((daemon) => known.has(daemon));
  }

  private isAloneWithoutPlatform(): boolean {
    return this.getNear().every(canNotTakeOver);
  }

  private getNear(): readonly FleetMember[] {
    const {dataCentre, fleet} = this.parts;
    const members = fleet.getMembers();
    return members.filter((member) => member.dataCentre === dataCentre);
  }
}

function canNotTakeOver({reachesPlatform, state}: FleetMember): boolean {
  return state === 'dead' || (state === 'alive' && !reachesPlatform);
}
