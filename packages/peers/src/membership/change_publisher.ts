/** Notifies listeners of changes to the known daemons. */
import type {DaemonId} from '@marigoldpost/common';
import type {FleetMember, MemberState} from '@marigoldpost/platform';
import type {MemberRecord} from './member_record.js';
import type {MembershipListener} from './membership_listener.js';

/** State of one daemon that the listeners were last notified of. */
interface PublishedState {
  readonly changes: number;
  readonly state: MemberState;
}

/**
 * Notifies listeners of daemons whose record or state differs from the last
 * notification.
 */
export class ChangePublisher {
  private readonly published = new Map<DaemonId, PublishedState>();

  private constructor(
    private readonly listeners: ReadonlySet<MembershipListener>,
  ) {}

  /**
   * Creates a publisher that has not notified of any daemon yet.
   * @param listeners - Listeners to notify; later additions are included.
   */
  static create(listeners: ReadonlySet<MembershipListener>): ChangePublisher {
    return new ChangePublisher(listeners);
  }

  /**
   * Notifies of each record that has changed since the last notification.
   * @param records - Records of all confirmed daemons.
   * @param toMember - Converts a record to the form that listeners receive.
   */
  publish(
    records: readonly MemberRecord[],
    toMember: (record: MemberRecord) => FleetMember,
  ): void {
    for (const record of records) {
      const member = toMember(record);
      const known = this.published.get(record.daemon);
      const {changes} = record;
      if (known?.changes === changes && known.state === member.state) continue;
      this.published.set(record.daemon, {changes, state: member.state});
      for (const listener of this.listeners) listener.onMemberChanged?.(member);
    }
  }
}
