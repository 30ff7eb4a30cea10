/** Builds the heartbeats that this daemon sends. */
import {create} from '@bufbuild/protobuf';
import type {DaemonId, DataCentreId} from '@marigoldpost/common';
import type {QuarantineEntry} from '@marigoldpost/targets';
import {
  type DaemonNews,
  type Heartbeat,
  HeartbeatSchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';
import {toQuarantineMessage} from '../messages/quarantine_codec.js';
import type {OwnState} from './own_state.js';

/** Maximum number of quarantine entries in one heartbeat. */
const maxQuarantines = 4;

/** Hexadecimal digits of a hash that distinguish two configurations. */
const hashDigits = 16;

/** Identity that a daemon announces in its heartbeats. */
export interface DaemonIdentity {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  readonly address: string;
  /** Increases with each start of the daemon. */
  readonly incarnation: number;
}

/** Builds heartbeats and increments the revision when partitions change. */
export class HeartbeatBuilder {
  private revision = 0;
  private lastAnnouncedPartitions = '';
  private nextQuarantineIndex = 0;

  private constructor(
    private readonly identity: DaemonIdentity,
    private readonly getState: () => OwnState,
  ) {}

  /**
   * Creates a builder at revision 0.
   * @param identity - Identity of this daemon.
   * @param getState - Called for each heartbeat.
   */
  static create(
    identity: DaemonIdentity,
    getState: () => OwnState,
  ): HeartbeatBuilder {
    return new HeartbeatBuilder(identity, getState);
  }

  /**
   * Builds the next heartbeat from the current state.
   * @param news - Gossip about other daemons.
   * @param wantsAllNews - Whether to request gossip about every daemon.
   */
  build(news: DaemonNews[], wantsAllNews: boolean): Heartbeat {
    const state = this.getState();
    this.updateRevision(state);
    return create(HeartbeatSchema, {
      ...this.identity,
      incarnation: BigInt(this.identity.incarnation),
      configVersion: BigInt(state.configVersion),
      configHash: state.configHash.slice(0, hashDigits),
      reachesPlatform: state.reachesPlatform,
      isDraining: state.isDraining,
      revision: BigInt(this.revision),
      partitions: state.partitions.map(({partition, epoch}) => ({
        partition,
        epoch: BigInt(epoch),
      })),
      quarantines: this.selectQuarantines(state.quarantines, wantsAllNews),
      news,
      wantsAllNews,
    });
  }

  private updateRevision({partitions}: OwnState): void {
    const announced = partitions
      .map(({partition, epoch}) => `${partition}:${epoch}`)
      .join(' ');
    if (announced === this.lastAnnouncedPartitions) return;
    this.lastAnnouncedPartitions = announced;
    this.revision += 1;
  }

  /** Selects a few entries in round-robin order, so that each is repeated. */
  private selectQuarantines(
    entries: readonly QuarantineEntry[],
    selectsAll: boolean,
  ) {
    const count = selectsAll
      ? entries.length
      : Math.min(maxQuarantines, entries.length);
    const chosen: QuarantineEntry[] = [];
    for (let taken = 0; taken < count; taken++) {
      const entry = entries[this.nextQuarantineIndex % entries.length];
      this.nextQuarantineIndex += 1;
      if (entry !== undefined) chosen.push(entry);
    }
    return chosen.map(toQuarantineMessage);
  }
}
