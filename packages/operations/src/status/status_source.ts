/** Interface between the operators' HTTP routes and the daemon. */
import type {Fingerprint, ProgramId} from '@marigoldpost/common';
import type {ProgramHistory, ProgramView} from '@marigoldpost/programs';
import type {OperatorsConfig} from '@marigoldpost/settings';
import type {FleetStatus} from './fleet_status.js';

/** Status of fleet and programs, and the actions that operators may take. */
export abstract class StatusSource {
  /** Gets the operators' configuration; `undefined` until one is active. */
  abstract getConfig(): OperatorsConfig | undefined;

  /** Gets the status of the fleet as this daemon knows it. */
  abstract getStatus(): FleetStatus;

  /**
   * Gets a program of any team; throws `unknown_program`.
   * @param program - Id of the program, whichever daemon holds it.
   */
  abstract getProgram(program: ProgramId): Promise<ProgramView>;

  /**
   * Gets the history of any team's program; throws `unknown_program`.
   * @param program - Id of the program, whichever daemon holds it.
   */
  abstract getHistory(program: ProgramId): Promise<ProgramHistory>;

  /**
   * Ends a program of any team; idempotent.
   * @param program - Id of the program, whichever daemon holds it.
   */
  abstract endProgram(program: ProgramId): Promise<ProgramView>;

  /**
   * Lifts a request's quarantine in the whole fleet; no effect on a request
   * that is not in quarantine.
   * @param fingerprint - Fingerprint of the request.
   */
  abstract liftQuarantine(fingerprint: Fingerprint): Promise<void>;
}
