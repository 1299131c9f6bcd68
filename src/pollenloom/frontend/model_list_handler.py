"""Handler of the list of models."""

from sanic import Request
from sanic.response import HTTPResponse

from pollenloom.core.states import Resource
from pollenloom.frontend.access import authenticate, check_access
from pollenloom.frontend.answer_headers import router_headers
from pollenloom.frontend.answers import json_answer
from pollenloom.frontend.call_handler import CallHandler
from pollenloom.frontend.raw_call import RawCall


class ModelListHandler(CallHandler):
    """Lists the models that a client account may use."""

    async def handle(
        self,
        _request: Request,
        call: RawCall,
    ) -> HTTPResponse:
        """Serve `GET /v1/models`."""
        configuration = self.configuration.current
        account = authenticate(configuration, call.header('authorization'))
        if account.is_error():
            return self.refuse(account.error, call)
        wall = self.kernel.clock.wall()
        models = [
            {
                'id': service.service,
                'object': 'model',
                # The published form has a time, which no file states.
                'created': 0,
                'owned_by': 'pollenloom',
            }
            for service in configuration.services.values()
            if service.resource is Resource.MODEL
            and check_access(service, account.ok, wall).is_ok()
        ]
        return json_answer(
            {'object': 'list', 'data': models},
            router_headers(call.request_id, None, wall),
        )
