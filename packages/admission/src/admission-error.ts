/** A broken invariant of admission, such as two unfinished calls with one identifier. */
export class AdmissionError extends Error {
  override readonly name = 'AdmissionError';
}
