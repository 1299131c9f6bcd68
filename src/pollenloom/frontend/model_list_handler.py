"""Handler of the list of models."""

from sanic import Request
from sanic.response import HTTPResponse

from pollenloom.core.states import Resource
from pollenloom.frontend.access import authenticate, check_access
from pollenloom.frontend.call_handler import CallHandler
from pollenloom.frontend.raw_call import RawCall
from pollenloom.frontend.response_headers import router_headers
from pollenloom.frontend.responses import json_response


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
            return self.error_response(account.error, call)
        wall = self.kernel.clock.wall()
        models = [
            {
                'id': service.service,
                'object': 'model',
                # The published format requires a time, which no file has.
                'created': 0,
                'owned_by': 'pollenloom',
            }
            for service in configuration.services.values()
            if service.resource is Resource.MODEL
            and check_access(service, account.ok, wall).is_ok()
        ]
        return json_response(
            {'object': 'list', 'data': models},
            router_headers(call.request_id, None, wall),
        )
