/** Whether a daemon may go on with its partitions. */
import type {DaemonId, DataCentreId} from '@marigoldpost/common';
import type {FleetMember, FleetView, LeaseKeeper} from '@marigoldpost/platform';

/** Parts of a guard. */
export interface LeaseGuardParts {
  readonly leases: Pick<LeaseKeeper, 'isHeld'>;
  readonly fleet: FleetView;
  readonly dataCentre: DataCentreId;
}

/**
 * Lets a daemon go on past its lease while no other can take over: each one
 * that could is known to be cut off from the platform too, or not to run.
 */
export class LeaseGuard {
  private roster: readonly DaemonId[] = [];

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
    const {dataCentre, fleet, leases} = this.parts;
    if (leases.isHeld()) return true;
    const members = fleet.getMembers();
    const near = members.filter((member) => member.dataCentre === dataCentre);
    const known = new Set(near.map(({daemon}) => daemon));
    if (this.roster.some((daemon) => !known.has(daemon))) return false;
    return near.every(canNotTakeOver);
  }
}

function canNotTakeOver({reachesPlatform, state}: FleetMember): boolean {
  return state === 'dead' || (state === 'alive' && !reachesPlatform);
}
