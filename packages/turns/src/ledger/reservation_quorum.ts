/**
 * Whether a reservation counts, from what each archive said of it.
 *
 * Two majorities share an archive, so two fronts that reserve at once see each
 * other. A data centre that is cut off counts only programs that began there;
 * elsewhere nobody counts those while its archives do not answer.
 */
import type {DataCentreId} from '@marigoldpost/common';

/** What one archive said. */
export type ReservationAnswer = 'granted' | 'refused' | 'failed' | 'pending';

/** One archive's part in a reservation. */
export interface ReservationVote {
  readonly dataCentre: DataCentreId;
  readonly answer: ReservationAnswer;
  /** Whether the archive knows what its peers recorded while it was away. */
  readonly isComplete: boolean;
}

/** Where the program began, and where the reservation is made. */
export interface ReservationPlace {
  readonly home: DataCentreId;
  readonly own: DataCentreId;
}

/** What to do with the reservation. */
export type ReservationDecision =
  'granted' | 'refused' | 'unavailable' | 'pending';

/**
 * Gets how many archives two reservations must ask to meet at one of them.
 * @param archives - Number of registered archives.
 */
export function getMajority(archives: number): number {
  return Math.floor(archives / 2) + 1;
}

/**
 * Decides on a reservation; `pending` while more answers are needed.
 * @param votes - One for each registered archive.
 * @param place - Data centres of program and front.
 */
export function decideReservation(
  votes: readonly ReservationVote[],
  place: ReservationPlace,
): ReservationDecision {
  const majority = getMajority(votes.length);
  const count = (answer: ReservationAnswer) =>
    votes.filter((vote) => vote.answer === answer).length;
  const granted = votes.filter((vote) => vote.answer === 'granted');
  const informed = granted.filter((vote) => vote.isComplete);
  const isOwnProgram = place.home === place.own;
  const isOfHome = (vote: ReservationVote) => vote.dataCentre === place.home;
  const isHomeHeard = granted.some(isOfHome);
  // A data centre without an archive cannot count anything by itself.
  const mayCountHere = isHomeHeard || isOwnProgram || !votes.some(isOfHome);
  if (informed.length >= majority && mayCountHere) {
    return 'granted';
  }
  const refused = count('refused');
  if (refused > 0 && refused + granted.length >= majority) return 'refused';
  if (count('pending') > 0) return 'pending';
  if (refused > 0) return 'refused';
  return isOwnProgram && isHomeHeard ? 'granted' : 'unavailable';
}
