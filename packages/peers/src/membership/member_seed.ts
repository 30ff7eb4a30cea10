/** Where a daemon may be found before it has been heard of. */
import type {DaemonId, DataCentreId} from '@marigoldpost/common';

/** A daemon as the VM list or a lease names it. */
export interface MemberSeed {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  /** `http://<ip>:<port>` for peers. */
  readonly address: string;
}
