/** VM list in memory whose readers see changes late. */
import {type Clock, MarigoldpostError} from '@marigoldpost/common';
import {type Vm, VmList, type VmState} from '@marigoldpost/platform';

/** Options of the list. */
export interface MemoryVmListOptions {
  readonly clock: Clock;
  /** Time until readers see a change, in milliseconds. */
  readonly lagMs: number;
}

interface Sample {
  readonly atMs: number;
  readonly vms: readonly Vm[];
}

/** Lagging list of VMs. */
export class MemoryVmList extends VmList {
  private vms: readonly Vm[] = [];
  private samples: Sample[] = [];
  private isOut = false;

  private constructor(private readonly options: MemoryVmListOptions) {
    super();
  }

  /**
   * Creates an empty list.
   * @param options - Clock and lag.
   */
  static create(options: MemoryVmListOptions): MemoryVmList {
    return new MemoryVmList(options);
  }

  /**
   * Adds a VM, or replaces the one of the same name.
   * @param vm - The VM.
   */
  setVm(vm: Vm): void {
    const others = this.vms.filter(({name}) => name !== vm.name);
    this.setVms([...others, vm]);
  }

  /**
   * Sets the state of a VM; an unknown one is left alone.
   * @param name - Its name.
   * @param state - The new state.
   */
  setState(name: string, state: VmState): void {
    this.setVms(this.vms.map((vm) => (vm.name === name ? {...vm, state} : vm)));
  }

  /**
   * Takes the list down or up.
   * @param isOut - Whether calls fail.
   */
  setOutage(isOut: boolean): void {
    this.isOut = isOut;
  }

  override getVms(): Promise<readonly Vm[]> {
    if (this.isOut) {
      const message = 'VM list does not answer';
      const error = MarigoldpostError.create('store_unavailable', message);
      return Promise.reject(error);
    }
    return Promise.resolve(this.getVisibleVms());
  }

  private setVms(vms: readonly Vm[]): void {
    this.vms = vms;
    this.samples.push({atMs: this.options.clock.nowMs(), vms});
  }

  private getVisibleVms(): readonly Vm[] {
    const visibleMs = this.options.clock.nowMs() - this.options.lagMs;
    const visible = this.samples.filter(({atMs}) => atMs <= visibleMs);
    const last = visible.at(-1);
    if (last === undefined) return [];
    this.samples = this.samples.slice(visible.length - 1);
    return last.vms;
  }
}
