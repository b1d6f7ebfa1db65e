/** Events of one attempt, from its owner to its entry. */
import {create} from '@bufbuild/protobuf';
import {DispatchEventSchema} from '@buckthornbeam/protocol';
import type {DispatchEvent} from '@buckthornbeam/protocol';
import type {RouterError} from '@buckthornbeam/shared';

type EventBody = NonNullable<DispatchEvent['event']['case']>;
type EventValue<C extends EventBody> = Extract<
  DispatchEvent['event'],
  {case: C}
>['value'];
type EventInit<C extends EventBody> = Partial<
  Omit<EventValue<C>, '$typeName' | '$unknown'>
>;

/** Makes an event of an attempt. */
export function makeEvent<C extends EventBody>(
  attemptId: string,
  name: C,
  value: EventInit<C>,
): DispatchEvent {
  return create(DispatchEventSchema, {
    attemptId,
    event: {case: name, value} as never,
  });
}

/** Makes the last event of an attempt that failed behind an offset. */
export function makeFailure(
  attemptId: string,
  offset: number,
  error: RouterError,
): DispatchEvent {
  return makeEvent(attemptId, 'failed', {
    code: error.code,
    detail: error.message,
    outcome: error.outcome,
    offset,
    retryAfterMs: error.retryAfterMs ?? 0,
  });
}
