/** Builds the heartbeats of the daemon itself. */
import {create} from '@bufbuild/protobuf';
import type {DaemonId, DataCentreId} from '@marigoldpost/common';
import {
  type DaemonNews,
  type Heartbeat,
  HeartbeatSchema,
} from '../generated/marigoldpost/peers/v1/peers_pb.js';
import type {OwnState, QuarantineNotice} from './own_state.js';

/** Quarantines in one heartbeat. */
const maxQuarantines = 4;

/** Hexadecimal digits of a text's hash: enough to tell two texts apart. */
const hashDigits = 16;

/** Who announces. */
export interface OwnIdentity {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  readonly address: string;
  /** Grows with each start of the daemon. */
  readonly incarnation: number;
}

/** Makes heartbeats; counts the changes of what they announce. */
export class OwnHeartbeat {
  private revision = 0;
  private announced = '';
  private nextQuarantine = 0;

  private constructor(
    private readonly identity: OwnIdentity,
    private readonly getState: () => OwnState,
  ) {}

  /**
   * Creates a builder.
   * @param identity - Who announces.
   * @param getState - Gets what is announced.
   */
  static create(identity: OwnIdentity, getState: () => OwnState): OwnHeartbeat {
    return new OwnHeartbeat(identity, getState);
  }

  /**
   * Builds the next heartbeat.
   * @param news - News of other daemons.
   * @param wantsAllNews - Whether to ask for news of every daemon.
   */
  build(news: DaemonNews[], wantsAllNews: boolean): Heartbeat {
    const state = this.getState();
    this.noteAnnounced(state);
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
      quarantines: this.takeQuarantines(state.quarantines, wantsAllNews),
      news,
      wantsAllNews,
    });
  }

  private noteAnnounced({partitions}: OwnState): void {
    const announced = partitions
      .map(({partition, epoch}) => `${partition}:${epoch}`)
      .join(' ');
    if (announced === this.announced) return;
    this.announced = announced;
    this.revision += 1;
  }

  /** Takes a few notices in turn, so that each is sent again and again. */
  private takeQuarantines(
    notices: readonly QuarantineNotice[],
    takesAll: boolean,
  ) {
    const count = takesAll
      ? notices.length
      : Math.min(maxQuarantines, notices.length);
    const chosen: QuarantineNotice[] = [];
    for (let taken = 0; taken < count; taken++) {
      const notice = notices[this.nextQuarantine % notices.length];
      this.nextQuarantine += 1;
      if (notice !== undefined) chosen.push(notice);
    }
    return chosen.map(({fingerprint, version, deaths}) => ({
      fingerprint,
      version: BigInt(version),
      deaths: deaths.map(({target, atMs}) => ({target, atMs})),
    }));
  }
}
