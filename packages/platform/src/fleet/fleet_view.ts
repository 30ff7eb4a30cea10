/** What one daemon knows of the others. */
import type {
  DaemonId,
  DataCentreId,
  Epoch,
  PartitionId,
} from '@marigoldpost/common';

/** A partition as its holder announces it. */
export interface AnnouncedPartition {
  readonly partition: PartitionId;
  readonly epoch: Epoch;
}

/**
 * Reachability of a daemon, as seen here: `alive` answers, `suspect` has missed
 * heartbeats, `dead` refuses connections at its address.
 */
export type MemberState = 'alive' | 'suspect' | 'dead';

/** One daemon. */
export interface FleetMember {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  /** `http://<ip>:<port>` for peers. */
  readonly address: string;
  readonly state: MemberState;
  readonly isDraining: boolean;
  readonly reachesPlatform: boolean;
  readonly partitions: readonly AnnouncedPartition[];
  /** Version of the operators' text in force there, if it is known. */
  readonly configVersion?: number;
  /** Time since the daemon was last heard of, in milliseconds. */
  readonly ageMs: number;
}

/** One daemon's view of the fleet. */
export abstract class FleetView {
  /** Gets every other daemon that is known. */
  abstract getMembers(): readonly FleetMember[];

  /**
   * Gets one daemon, or nothing when it is not known.
   * @param daemon - Its name.
   */
  getMember(daemon: DaemonId): FleetMember | undefined {
    return this.getMembers().find((member) => member.daemon === daemon);
  }

  /**
   * Gets the daemon that announces the newest epoch of a partition.
   * @param partition - The partition.
   */
  getHolder(partition: PartitionId): FleetMember | undefined {
    let holder: FleetMember | undefined;
    let newest = -1;
    for (const member of this.getMembers()) {
      const held = member.partitions.find(
        (announced) => announced.partition === partition,
      );
      if (held === undefined || held.epoch <= newest) continue;
      holder = member;
      newest = held.epoch;
    }
    return holder;
  }
}
