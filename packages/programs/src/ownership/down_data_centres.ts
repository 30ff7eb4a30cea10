/** Data centres whose partitions others may take over. */
import {
  isErrorOfKind,
  type Clock,
  type DataCentreId,
} from '@marigoldpost/common';
import type {Vm, VmList} from '@marigoldpost/platform';
import type {OperatorsConfig} from '@marigoldpost/settings';

const readMs = 10_000;

/** What a finder needs. */
export interface DownDataCentresOptions {
  readonly clock: Clock;
  readonly vmList?: VmList;
  /** Data centre of this daemon. */
  readonly dataCentre: DataCentreId;
}

/** Finds data centres that the text marks down or that have lost every VM. */
export class DownDataCentres {
  private vms: readonly Vm[] = [];
  private readAtMs = -Infinity;

  private constructor(private readonly options: DownDataCentresOptions) {}

  /**
   * Creates a finder.
   * @param options - The list of VMs, and the data centre of this daemon.
   */
  static create(options: DownDataCentresOptions): DownDataCentres {
    return new DownDataCentres(options);
  }

  /**
   * Gets the data centres that are down.
   * @param config - The text in force.
   */
  async findDown(config: OperatorsConfig): Promise<Set<DataCentreId>> {
    const vms = await this.readVms();
    const down = new Set<DataCentreId>();
    for (const {id, isDown} of config.dataCentres.values()) {
      if (isDown || this.isGone(id, vms)) down.add(id);
    }
    return down;
  }

  /** Whether the list has VMs of a data centre, and all of them are gone. */
  private isGone(dataCentre: DataCentreId, vms: readonly Vm[]): boolean {
    if (dataCentre === this.options.dataCentre) return false;
    const own = vms.filter((vm) => vm.dataCentre === dataCentre);
    return own.length > 0 && own.every(({state}) => state === 'gone');
  }

  /** Reads the list now and then; the last one stands while it is away. */
  private async readVms(): Promise<readonly Vm[]> {
    const {clock, vmList} = this.options;
    if (clock.nowMs() - this.readAtMs < readMs) return this.vms;
    this.readAtMs = clock.nowMs();
    try {
      this.vms = (await vmList?.getVms()) ?? [];
    } catch (error) {
      if (!isErrorOfKind(error)) throw error;
    }
    return this.vms;
  }
}
