/** Address of a daemon that has not been heard from yet. */
import type {DaemonId, DataCentreId} from '@marigoldpost/common';

/** A daemon that the VM list or a lease names. */
export interface MemberSeed {
  readonly daemon: DaemonId;
  readonly dataCentre: DataCentreId;
  /** `http://<ip>:<port>` that the daemon serves peers on. */
  readonly address: string;
}
