/** State of the other daemons as known to one daemon. */
import type {
  DaemonId,
  DataCentreId,
  Epoch,
  PartitionId,
} from '@marigoldpost/common';

/** A partition and its epoch as the holder announces them. */
export interface AnnouncedPartition {
  readonly partition: PartitionId;
  readonly epoch: Epoch;
}

/**
 * Reachability of a daemon from here: `alive` responds, `suspect` has missed
 * heartbeats, `dead` refuses connections at its address.
 */
export type MemberState = 'alive' | 'suspect' | 'dead';

/** State of one daemon. */
export interface FleetMember {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  /** `http://<ip>:<port>` for requests of peers. */
  readonly address: string;
  readonly state: MemberState;
  readonly isDraining: boolean;
  readonly reachesPlatform: boolean;
  readonly partitions: readonly AnnouncedPartition[];
  /** Version of the operators' configuration active there, if known. */
  readonly configVersion?: number;
  /** Age of the newest information about the daemon, in milliseconds. */
  readonly ageMs: number;
}

/** The fleet as known to one daemon, which is not listed itself. */
export abstract class FleetView {
  /** Gets the state of all other known daemons. */
  abstract getMembers(): readonly FleetMember[];

  /**
   * Gets the state of one daemon; undefined when it is not known.
   * @param daemon - Daemon to look up.
   */
  getMember(daemon: DaemonId): FleetMember | undefined {
    return this.getMembers().find((member) => member.daemon === daemon);
  }

  /**
   * Gets the daemon that announces the newest epoch of a partition; undefined
   * when none announces it.
   * @param partition - Partition to look up.
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
