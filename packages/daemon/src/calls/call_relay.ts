/** Relays calls to the peers that hold their partitions. */
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

/** Parts of the daemon that a relay uses. */
export interface CallRelayOptions {
  readonly clock: Clock;
  readonly transport: PeerTransport;
  readonly locator: PartitionLocator;
}

/** Relays calls over the peer protocol. */
export class CallRelay {
  private constructor(private readonly options: CallRelayOptions) {}

  /**
   * Creates a relay.
   * @param options - Clock, peer transport and locator of partitions.
   */
  static create(options: CallRelayOptions): CallRelay {
    return new CallRelay(options);
  }

  /**
   * Sends a call to the holder of a partition. Throws `partition_unavailable`
   * or `peer_unavailable` when the holder certainly did not receive the call,
   * and `peer_lost` when the holder was lost after that.
   * @param partition - Partition of the call's program.
   * @param call - A call that the holder is to run or to join.
   * @param signal - Aborted when the caller disconnects.
   */
  async *sendCall(
    partition: PartitionId,
    call: Call,
    signal: AbortSignal,
  ): AsyncGenerator<CallEvent> {
    const holder = this.options.locator.getHolderOrThrow(partition);
    const holderLost = new AbortController();
    const holderWatch = this.watchHolder(partition, holder, holderLost);
    const request = create(RelayCallSchema, {
      callId: call.callId,
      partition,
      callJson: JSON.stringify(call),
      timeoutMs: call.timeoutMs,
    });
    try {
      yield* this.readEvents(holder, request, signal, holderLost.signal);
    } finally {
      holderWatch.cancel();
    }
  }

  private async *readEvents(
    holder: FleetMember,
    value: ReturnType<typeof create<typeof RelayCallSchema>>,
    signal: AbortSignal,
    holderLost: AbortSignal,
  ): AsyncGenerator<CallEvent> {
    const replies = this.options.transport.exchange(
      holder,
      {case: 'relayCall', value},
      {
        signal: AbortSignal.any([signal, holderLost]),
        timeoutMs: firstReplyTimeoutMs,
      },
    );
    try {
      for await (const reply of replies) yield toCallEvent(reply);
    } catch (error) {
      holderLost.throwIfAborted();
      throw error;
    }
  }

  /**
   * Checks periodically who holds the partition. Aborts the wait for the holder
   * when another daemon announces a newer epoch, or when no live holder is known.
   */
  private watchHolder(
    partition: PartitionId,
    holder: FleetMember,
    holderLost: AbortController,
  ): Timer {
    let timer: Timer;
    const check = () => {
      if (this.isHeldElsewhere(partition, holder)) {
        const message = `daemon "${holder.daemon}" no longer holds partition "${partition}"`;
        holderLost.abort(MarigoldpostError.create('peer_lost', message));
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
  const message = `a relayed call got reply "${reply.case ?? 'none'}", expected "callEvent"`;
  throw MarigoldpostError.create('internal', message);
}
