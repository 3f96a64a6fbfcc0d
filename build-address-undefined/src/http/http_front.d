build-address-undefined/src/http/http_front.o: src/http/http_front.c \
 src/http/http_int.h src/http/http.h src/base/base.h src/relay/relay.h \
 src/admit/admit.h src/config/config.h src/wire/wire.h \
 src/member/member.h
src/http/http_int.h:
src/http/http.h:
src/base/base.h:
src/relay/relay.h:
src/admit/admit.h:
src/config/config.h:
src/wire/wire.h:
src/member/member.h:
