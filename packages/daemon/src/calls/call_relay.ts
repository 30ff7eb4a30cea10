/** Passes calls on to the peers that hold their partitions. */
import {create} from '@bufbuild/protobuf';
import {
  type Clock,
  MarigoldpostError,
  type PartitionId,
  type Timer,
} from '@marigoldpost/common';
import {
  type PeerReplyBody,
  type PeerTransport,
  RelayCallSchema,
} from '@marigoldpost/peers';
import type {FleetMember} from '@marigoldpost/platform';
import type {Call, CallEvent} from '@marigoldpost/programs';
import type {PartitionLocator} from './partition_locator.js';

const firstReplyTimeoutMs = 2000;
const holderCheckMs = 250;

/** Options of a relay. */
export interface CallRelayOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly locator: PartitionLocator;
}

/** Sends calls to their holders. */
export class CallRelay {
  private constructor(private readonly options: CallRelayOptions) {}

  /**
   * Creates a relay.
   * @param options - Transport and the holders' whereabouts.
   */
  static create(options: CallRelayOptions): CallRelay {
    return new CallRelay(options);
  }

  /**
   * Sends a call to the holder of a partition. Throws `partition_unavailable`
   * and `peer_unavailable` when it was surely not handed over, `peer_lost` when
   * the holder was lost after that.
   * @param partition - The partition.
   * @param call - The call.
   * @param signal - The caller went away.
   */
  async *sendCall(
    partition: PartitionId,
    call: Call,
    signal: AbortSignal,
  ): AsyncGenerator<CallEvent> {
    const holder = this.options.locator.getHolderOrThrow(partition);
    const lost = new AbortController();
    const watch = this.watchHolder(partition, holder, lost);
    const request = create(RelayCallSchema, {
      callId: call.callId,
      partition,
      callJson: JSON.stringify(call),
      timeoutMs: call.timeoutMs,
    });
    try {
      yield* this.readEvents(holder, request, signal, lost.signal);
    } finally {
      watch.cancel();
    }
  }

  private async *readEvents(
    holder: FleetMember,
    value: ReturnType<typeof create<typeof RelayCallSchema>>,
    signal: AbortSignal,
    lost: AbortSignal,
  ): AsyncGenerator<CallEvent> {
    const replies = this.options.transport.exchange(
      holder,
      {case: 'relayCall', value},
      {
        signal: AbortSignal.any([signal, lost]),
        timeoutMs: firstReplyTimeoutMs,
      },
    );
    try {
      for await (const reply of replies) yield toCallEvent(reply);
    } catch (error) {
      lost.throwIfAborted();
      throw error;
    }
  }

  /** Gives a holder up when another daemon announces a newer epoch. */
  private watchHolder(
    partition: PartitionId,
    holder: FleetMember,
    lost: AbortController,
  ): Timer {
    let timer: Timer;
    const check = () => {
      if (this.isHeldElsewhere(partition, holder)) {
        const message = `daemon "${holder.daemon}" no longer holds partition "${partition}"`;
        lost.abort(MarigoldpostError.create('peer_lost', message));
      }
      timer = this.options.clock.setTimer(holderCheckMs, check);
    };
    timer = this.options.clock.setTimer(holderCheckMs, check);
    return {cancel: () => timer.cancel()};
  }

  private isHeldElsewhere(
    partition: PartitionId,
    holder: FleetMember,
  ): boolean {
    try {
      const current = this.options.locator.getHolderOrThrow(partition);
      return current.daemon !== holder.daemon;
    } catch {
      return true;
    }
  }
}

function toCallEvent(reply: PeerReplyBody): CallEvent {
  if (reply.case === 'callEvent') {
    return JSON.parse(reply.value.eventJson) as CallEvent;
  }
  const message = `a peer answered a call with "${reply.case ?? 'nothing'}"`;
  throw MarigoldpostError.create('internal', message);
}
